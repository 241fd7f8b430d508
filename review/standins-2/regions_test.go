package standins_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// regions is a deployment in two regions. The links between nodes of different regions go
// through proxies; a node learns the address of such a node as that of the proxy.
type regions struct {
	nodes []*node
	links []*proxy
}

// newRegions starts nodes with these names, each of which begins with north or south. It returns
// nil if one does not get ready.
func newRegions(b *bench, names []string, bounds, contracts string) *regions {
	zones := map[string]string{"north-a": "north", "south-a": "south"}
	d := &regions{}
	for _, name := range names {
		zone := name[:5] + "-a"
		n := &node{name: name, zone: zone, region: zones[zone], zones: zones, folder: b.folder, binary: b.binary, extra: bounds, contracts: contracts}
		n.reserve()
		d.nodes = append(d.nodes, n)
	}
	b.nodes = d.nodes
	for _, n := range d.nodes {
		addrs := map[string]string{}
		for _, other := range d.nodes {
			if other.region != n.region {
				p := newProxy(other.peerAddr())
				d.links = append(d.links, p)
				addrs[other.peerAddr()] = p.addr
			}
		}
		n.door = b.store.serve(replaceAddrs(addrs))
	}
	for _, n := range d.nodes {
		n.start(true)
	}
	for _, n := range d.nodes {
		if !n.ready() {
			b.record.say("%s is not ready", n.name)
			return nil
		}
	}
	return d
}

// cut cuts the regions from each other, or ends that.
func (d *regions) cut(cut bool) {
	for _, p := range d.links {
		p.cut.Store(cut)
	}
}

// callers send requests at steady rates.
type callers struct {
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	sent    map[string]sentRequest
}

// sentRequest is a request that a caller sent.
type sentRequest struct {
	at     time.Time
	status int // 0 if there was no answer
}

func newCallers() *callers {
	return &callers{stop: make(chan struct{}), sent: map[string]sentRequest{}}
}

// call starts to send requests to a node. key may be empty.
func (c *callers) call(n *node, label, key string, perSecond int) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		var pending sync.WaitGroup
		defer pending.Wait()
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			pending.Add(1)
			go func() {
				defer pending.Done()
				id, at := fmt.Sprintf("%s-%s-%d", n.name, label, i), time.Now()
				status, _ := send(client, http.MethodGet, n.front, "look.example", "/find/"+id, id, key, 1500*time.Millisecond, nil)
				c.mu.Lock()
				c.sent[id] = sentRequest{at, status}
				c.mu.Unlock()
			}()
		}
	}()
}

// end stops sending and waits for the answers.
func (c *callers) end() {
	close(c.stop)
	c.running.Wait()
}

// config returns a configuration with one route to one service.
func config(version int, service map[string]any, tenants []any) map[string]any {
	out := map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "r-1", "host": "look.example", "pathPrefix": "/find/", "kind": "safe", "timeoutMs": 2000, "sloMs": 500, "priority": 1, "service": service["name"], "maxAttempts": 2}},
		"services": []any{service},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		out["tenants"] = tenants
	}
	return out
}

// arrival is a request that ran at a server.
type arrival struct {
	sent, ran time.Time
}

// mostWithin returns the most requests that were sent and ran within one window, and the
// beginning of that window.
func mostWithin(ran []arrival, window time.Duration) (most int, at time.Time) {
	for _, first := range ran {
		count := 0
		for _, a := range ran {
			if !a.sent.Before(first.sent) && !a.ran.After(first.sent.Add(window)) {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	return most, at
}

// seconds returns a time as the seconds since the start of the case.
func (b *bench) seconds(t time.Time) float64 { return t.Sub(b.record.start).Seconds() }
