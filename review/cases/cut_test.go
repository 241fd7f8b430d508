package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cut"] = runCut }

// Sizes and times of the case.
const (
	cutNodes    = 3
	cutServers  = 3
	cutPerS     = 85 // requests a second of all clients
	cutTime     = 6 * time.Second
	cutGrace    = 6 * time.Second
	cutSlack    = 200 * time.Millisecond
	cutLatest   = 3 * time.Second // after a SIGTERM, for a request that a server still works on
	cutLoadTime = 58 * time.Second
)

// attempt is one request of a client.
type attempt struct {
	id     string
	node   *node
	sent   time.Time
	ended  time.Time
	status int // 0 if the connection ended without an answer
	unsent bool
}

// stop is one planned stop of a node.
type stop struct {
	node *node
	at   time.Time
}

// runCut stops the nodes in turn under a steady load that the servers cannot take whole.
func runCut(e *env) int {
	st := newStore()
	log := newRunLog()
	zones := []string{"kbh-vesterbro", "aarhus-havn", "odense-syd"}
	for i := range cutServers {
		startServer(st, &server{id: fmt.Sprintf("i-%04d", i+1), service: "casting-book", zone: zones[i%3], slots: 4, queue: 4, rec: e.rec, log: log, work: func() time.Duration { return 160 * time.Millisecond }})
	}
	st.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "booking", "host": "desk.example", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 6000, "sloMs": 600, "priority": 2, "service": "casting-book", "maxAttempts": 2}},
		"services": []any{map[string]any{"name": "casting-book", "healthPath": "/health", "maxConns": 208, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range cutNodes {
		e.addNode(fmt.Sprintf("frontend-%d", i+1), zones[0], st.addr())
	}
	for _, n := range e.nodes {
		e.start(n)
	}
	e.waitReady(cutNodes)
	time.Sleep(2 * time.Second)
	e.rec.logf("load starts")
	d := &driver{e: e, end: time.Now().Add(cutLoadTime)}
	loadDone := make(chan struct{})
	go func() {
		d.run()
		close(loadDone)
	}()
	var stops []stop
	if e.trouble {
		for _, n := range e.nodes {
			time.Sleep(11 * time.Second)
			e.rec.logf("SIGTERM to %s", n.name)
			stops = append(stops, stop{n, time.Now()})
			n.signal(syscall.SIGTERM)
			select {
			case <-n.exited:
				e.rec.logf("%s has exited %.2f s after SIGTERM", n.name, time.Since(stops[len(stops)-1].at).Seconds())
			case <-time.After(cutGrace):
				e.rec.logf("SIGKILL to %s", n.name)
				n.signal(syscall.SIGKILL)
				<-n.exited
			}
			time.Sleep(200 * time.Millisecond)
			e.restart(n)
		}
	}
	<-loadDone
	return judgeCut(e, d.attempts, stops, log)
}

// driver sends requests at a steady rate, over connections that it keeps.
type driver struct {
	e        *env
	end      time.Time
	mu       sync.Mutex
	attempts []*attempt
	idle     map[*node][]net.Conn
	addrs    []string
	resolved time.Time
}

func (d *driver) run() {
	d.idle = map[*node][]net.Conn{}
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(d.end); i++ {
		n := d.pick(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.send(n, fmt.Sprintf("b-%06d", i))
		}()
		time.Sleep(time.Second / cutPerS)
	}
	wg.Wait()
}

// pick returns one of the nodes that the directory names. Answers are kept for 2 s.
func (d *driver) pick(i int) *node {
	if time.Since(d.resolved) > 2*time.Second {
		for k := range d.e.nodes {
			if addrs := d.e.nodes[(i+k)%len(d.e.nodes)].resolve(); len(addrs) > 0 {
				d.addrs, d.resolved = addrs, time.Now()
				break
			}
		}
	}
	addr := d.addrs[i%len(d.addrs)]
	for _, n := range d.e.nodes {
		if n.frontAddr() == addr {
			return n
		}
	}
	return d.e.nodes[0]
}

// connect returns a kept or a new connection to a node.
func (d *driver) connect(n *node) (net.Conn, error) {
	d.mu.Lock()
	if list := d.idle[n]; len(list) > 0 {
		c := list[len(list)-1]
		d.idle[n] = list[:len(list)-1]
		d.mu.Unlock()
		return c, nil
	}
	d.mu.Unlock()
	return net.DialTimeout("tcp", n.frontAddr(), time.Second)
}

func (d *driver) send(n *node, id string) {
	a := &attempt{id: id, node: n}
	defer func() {
		d.mu.Lock()
		d.attempts = append(d.attempts, a)
		d.mu.Unlock()
	}()
	c, err := d.connect(n)
	if err != nil {
		a.unsent = true
		d.e.rec.eventf("client cannot connect to %s for %s", n.name, id)
		return
	}
	body := "hold " + id
	a.sent = time.Now()
	d.e.rec.eventf("client sends %s to %s", id, n.name)
	_ = c.SetDeadline(time.Now().Add(7 * time.Second))
	_, err = fmt.Fprintf(c, "POST /book/%s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	a.ended = time.Now()
	if err != nil {
		_ = c.Close()
		d.e.rec.eventf("client gets no answer for %s after %.3f s: %v", id, a.ended.Sub(a.sent).Seconds(), err)
		return
	}
	a.status = r.StatusCode
	d.e.rec.eventf("client gets %d for %s after %.3f s", a.status, id, a.ended.Sub(a.sent).Seconds())
	if r.Close {
		_ = c.Close()
		return
	}
	d.mu.Lock()
	d.idle[n] = append(d.idle[n], c)
	d.mu.Unlock()
}

func judgeCut(e *env, attempts []*attempt, stops []stop, log *runLog) int {
	lost, served := 0, 0
	byStatus := map[int]int{}
	for _, a := range attempts {
		if a.unsent {
			byStatus[-1]++
			continue
		}
		byStatus[a.status]++
		if a.status == http.StatusOK {
			served++
		}
		if a.status != 0 {
			continue
		}
		took := a.ended.Sub(a.sent)
		for _, s := range stops {
			from := a.sent.Sub(s.at)
			switch {
			case s.node != a.node || a.ended.Before(s.at) || a.ended.After(s.at.Add(cutGrace+time.Second)):
			case log.rejected(a.id) == 0:
				e.rec.eventf("%s was not passed on", a.id)
			case log.count(a.id) > 0:
				e.rec.eventf("%s was at a server", a.id)
			case took >= cutTime || took <= cutSlack:
				e.rec.eventf("%s had used its time, or is within the slack", a.id)
			default:
				lost++
				e.rec.logf("LOST: %s was sent to %s %.2f s after its SIGTERM, passed on to servers %d times and rejected, and its connection ended %.2f s after SIGTERM without an answer, %.2f s before the end of its time", a.id, a.node.name, from.Seconds(), log.rejected(a.id), a.ended.Sub(s.at).Seconds(), (cutTime - took).Seconds())
			}
		}
	}
	e.rec.logf("%d requests, by status (0: no answer, -1: no connection) %v; lost: %d", len(attempts), byStatus, lost)
	switch {
	case served < 1000:
		return exitNotRun
	case lost > 0:
		return exitBroken
	}
	return exitHeld
}
