package cases

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() { cases["listed"] = runListed }

// Sizes and times of the case.
const (
	listedNodes   = 10
	silentShare   = 0.5 // of the connections to one of the ten machines, as reset_conns has them (share 0.1, x 0.5)
	contact       = 4 * time.Second
	listedGrace   = contact + 3*time.Second // after which no directory may name a killed machine
	listedWatch   = 20 * time.Second        // for which the directories are asked after that
	listedSettle  = 8 * time.Second
	allowedListed = 3 // answers that the rule allows
)

// runListed lets some of the open connections to one machine go silent, then ends
// another machine for good, and asks the directories of the others.
func runListed(e *env) int {
	st := newStore()
	zones := []string{"kbh-vesterbro", "aarhus-havn", "odense-syd"}
	st.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "booking", "host": "desk.example", "pathPrefix": "/book/", "kind": "safe", "timeoutMs": 6000, "sloMs": 600, "priority": 2, "service": "casting-book", "maxAttempts": 2}},
		"services": []any{map[string]any{"name": "casting-book", "healthPath": "/health", "maxConns": 208, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	startServer(st, &server{id: "i-0001", service: "casting-book", zone: zones[0], slots: 4, queue: 4, rec: e.rec, log: newRunLog(), work: func() time.Duration { return time.Millisecond }})
	proxies := map[*node]*proxy{}
	for i := range listedNodes {
		n := e.addNode(fmt.Sprintf("frontend-%02d", i+1), zones[i%3], st.addr())
		proxies[n] = startProxy(n.peerAddr())
		// The other machines reach this one through the proxy.
		st.rewrites = append(st.rewrites, n.peerAddr(), proxies[n].addr())
	}
	for _, n := range e.nodes {
		e.start(n)
	}
	e.waitReady(3)
	time.Sleep(listedSettle)
	hub := e.hub()
	if hub == nil {
		e.rec.logf("no machine is a hub")
		return exitNotRun
	}
	if e.trouble {
		silent, open := proxies[hub].silence(silentShare)
		e.rec.logf("%d of the %d open connections that other machines use to reach %s go silent", silent, open, hub.name)
	}
	time.Sleep(contact + 2*time.Second)
	gone := e.stillHeard(hub)
	if gone == nil {
		return exitNotRun
	}
	e.rec.logf("%s is removed for good", gone.name)
	gone.signal(syscall.SIGKILL)
	<-gone.exited
	killed := time.Now()
	bad, answers := 0, 0
	var names []string
	for time.Since(killed) < listedGrace+listedWatch {
		for _, n := range e.nodes {
			if n == gone {
				continue
			}
			addrs := n.resolveFor(gone.zone)
			since := time.Since(killed)
			e.rec.eventf("%s: directory answer %v", n.name, addrs)
			answers++
			if since > listedGrace && len(addrs) > 1 && slices.Contains(addrs, gone.frontAddr()) {
				bad++
				e.rec.eventf("DRAIN: the directory of %s names %s, %.1f s after it was killed", n.name, gone.name, since.Seconds())
				if !slices.Contains(names, n.name) {
					names = append(names, n.name)
				}
			}
		}
		time.Sleep(time.Second)
	}
	e.rec.logf("%d directory answers; %d name %s over %s after it was killed, by %s", answers, bad, gone.name, listedGrace, strings.Join(names, ", "))
	switch {
	case answers < 100:
		return exitNotRun
	case bad > allowedListed:
		return exitBroken
	}
	return exitHeld
}

// hub returns the first node whose log says that it watches the store for the others.
func (e *env) hub() *node {
	for _, n := range e.nodes {
		data, err := os.ReadFile(strings.TrimSuffix(n.settings, ".toml") + ".log")
		must(err)
		is := false
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, `"kind":"hub"`) {
				is = strings.Contains(line, "hub true")
			}
		}
		if is {
			return n
		}
	}
	return nil
}

// stillHeard returns a node other than the hub that the hub's log has not reported as
// failed.
func (e *env) stillHeard(hub *node) *node {
	data, err := os.ReadFile(strings.TrimSuffix(hub.settings, ".toml") + ".log")
	must(err)
	failed := map[string]bool{}
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, `"kind":"node_live"`) {
			for _, n := range e.nodes {
				if strings.Contains(line, `"subject":"`+n.name+`"`) {
					failed[n.name] = strings.Contains(line, "live false")
				}
			}
		}
	}
	e.rec.logf("the machines that %s does not hear: %v", hub.name, failed)
	for i := len(e.nodes) - 1; i >= 0; i-- {
		if n := e.nodes[i]; n != hub && !failed[n.name] {
			return n
		}
	}
	return nil
}
