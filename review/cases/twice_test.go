package cases

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["twice"] = runTwice }

// Sizes of the deployment and the disruption.
const (
	twiceNodes     = 4
	twiceServers   = 5
	twiceClients   = 60
	copyShare      = 0.03            // of the answers, as the site file has it for garble, extra late
	copyServers    = 3               // of twiceServers, which is a share of 0.6, likewise
	copyTime       = 5 * time.Second // likewise
	twiceIntervals = 8               // times that the disruption comes
	twicePause     = 4 * time.Second // before each time
)

// client is one client's connection and results.
type client struct {
	http *http.Client
	e    *env
	name string
}

// runTwice offers unsafe requests to servers that are at times full, while some of the
// servers send a second copy of a few of their answers.
func runTwice(e *env) int {
	st := newStore()
	log := newRunLog()
	work := func() time.Duration { return time.Duration(6+rand.IntN(10)) * time.Millisecond }
	var servers []*server
	zones := []string{"kbh-vesterbro", "aarhus-havn", "odense-syd"}
	for i := range twiceServers {
		servers = append(servers, startServer(st, &server{id: fmt.Sprintf("i-%04d", i+1), service: "casting-book", zone: zones[i%3], slots: 4, queue: 4, work: work, rec: e.rec, log: log}))
	}
	st.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "booking", "host": "desk.example", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 6000, "sloMs": 600, "priority": 2, "service": "casting-book", "maxAttempts": 2}},
		"services": []any{map[string]any{"name": "casting-book", "healthPath": "/health", "maxConns": 208, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range twiceNodes {
		e.addNode(fmt.Sprintf("frontend-%d", i+1), zones[i%3], st.addr())
	}
	for _, n := range e.nodes {
		e.start(n)
	}
	e.waitReady(1)
	time.Sleep(2 * time.Second)
	e.rec.logf("load starts")
	results := &results{status: map[string]int{}}
	end := time.Now().Add(twiceIntervals * (twicePause + copyTime))
	var wg sync.WaitGroup
	for i := range twiceClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, e: e, name: fmt.Sprintf("c%02d", i)}
			c.run(end, results)
		}()
	}
	share := copyShare
	for range twiceIntervals {
		time.Sleep(twicePause)
		if e.trouble {
			e.rec.logf("%d of %d servers send a late copy of %.0f%% of their answers for %s", copyServers, twiceServers, 100*copyShare, copyTime)
			for _, s := range servers[:copyServers] {
				s.lateCopies.Store(&share)
			}
		}
		time.Sleep(copyTime)
		for _, s := range servers[:copyServers] {
			s.lateCopies.Store(nil)
		}
	}
	wg.Wait()
	return judgeTwice(e, results, log)
}

// results holds the status of each request, 0 for none.
type results struct {
	mu     sync.Mutex
	status map[string]int
}

func (c *client) run(end time.Time, res *results) {
	for i := 0; time.Now().Before(end); i++ {
		n := c.e.nodes[(i/20+int(c.name[2]))%len(c.e.nodes)]
		id := fmt.Sprintf("%s-%06d", c.name, i)
		c.e.rec.eventf("client sends %s to %s", id, n.name)
		status := c.send(n, id)
		c.e.rec.eventf("client gets %d for %s", status, id)
		res.mu.Lock()
		res.status[id] = status
		res.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *client) send(n *node, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.frontAddr()+"/book/"+id, bytes.NewReader([]byte("hold "+id)))
	must(err)
	req.Host = "desk.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "6000")
	r, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

func judgeTwice(e *env, res *results, log *runLog) int {
	twice, refusedRan, served := 0, 0, 0
	byStatus := map[int]int{}
	for id, status := range res.status {
		byStatus[status]++
		n := log.count(id)
		if status == http.StatusOK {
			served++
		}
		if n > 1 {
			twice++
			e.rec.logf("TWICE: %s ran %d times, its client got %d", id, n, status)
		}
		if n > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			refusedRan++
			e.rec.logf("REFUSED: %s ran %d times, its client got %d", id, n, status)
		}
	}
	e.rec.logf("%d requests, by status %v; ran more than once: %d; refused but ran: %d", len(res.status), byStatus, twice, refusedRan)
	switch {
	case served < 1000:
		return exitNotRun
	case twice > 0 || refusedRan > 0:
		return exitBroken
	}
	return exitHeld
}
