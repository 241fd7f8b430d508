package standins_test

import (
	"fmt"
	"net/http"
	"time"
)

// The rate of a cold server, and the site's bounds on it.
const (
	warmupPerS    = 40
	warmupTime    = 6 * time.Second
	warmupOverage = 1.5
	warmupSlack   = 5
)

// crashPerS is the rate, well above warmupPerS, at which a cold server crashes.
const crashPerS = 70

// coldCutTime is how long the regions have been cut from each other when the servers become
// cold.
const coldCutTime = 26 * time.Second

// cold cuts two regions from each other. Later the servers of a service become cold.
func cold(b *bench) int {
	var servers []*server
	for i := range 2 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "lookup", zone: []string{"north-a", "south-a"}[i%2], slots: 64}
		s.answer = func(_ http.ResponseWriter, _ *http.Request, _ int) bool {
			if s.coldRuns(time.Second) > crashPerS {
				s.crashed.Store(true)
			}
			time.Sleep(10 * time.Millisecond)
			if s.crashed.Load() {
				panic(http.ErrAbortHandler) // ends the connection
			}
			return false
		}
		s.setCold(false)
		s.start(b.store)
		servers = append(servers, s)
	}
	b.store.put("config", "main", config(7, map[string]any{"name": "lookup", "healthPath": "/health", "maxConns": 400, "warmupS": warmupTime.Seconds(), "warmupPerS": warmupPerS}, nil))
	d := newRegions(b, []string{"north-1", "north-2", "south-1", "south-2"}, "", plainContracts)
	if d == nil {
		return exitCannotRun
	}
	c := newCallers()
	for _, n := range d.nodes {
		c.call(n, "find", "", 60)
	}
	time.Sleep(calmTime)
	if b.trouble {
		b.record.say("the regions lose each other")
		d.cut(true)
	}
	time.Sleep(coldCutTime)
	for _, s := range servers {
		s.setCold(true)
		s.announce(b.store, warmupTime)
	}
	coldFrom := time.Now()
	b.record.say("the servers are cold")
	time.Sleep(warmupTime)
	for _, s := range servers {
		s.announce(b.store, 0)
		s.setCold(false)
	}
	coldUntil := time.Now()
	b.record.say("the servers are warm")
	time.Sleep(time.Second)
	d.cut(false)
	c.end()

	bound, most := warmupPerS*warmupOverage+warmupSlack, 0
	for _, s := range servers {
		var ran []arrival
		for _, r := range s.runs {
			if r.at.After(coldFrom) && r.at.Before(coldUntil) {
				ran = append(ran, arrival{c.sent[r.id].at, r.at})
				b.record.add("%s sent at %.3f, arrived at %s at %.3f, answered %d", r.id, b.seconds(c.sent[r.id].at), r.server, b.seconds(r.at), c.sent[r.id].status)
			}
		}
		n, at := mostWithin(ran, time.Second)
		b.record.say("most requests that were sent to %s and arrived within a second while it was cold: %d, from second %.1f; the rule allows %.0f", s.id, n, b.seconds(at), bound)
		b.record.say("%s has crashed: %t", s.id, s.crashed.Load())
		most = max(most, n)
	}
	answers := map[int]int{}
	for _, a := range c.sent {
		if a.at.After(coldFrom) {
			answers[a.status]++
		}
	}
	b.record.say("answers since the servers became cold, 0 for none: %v", answers)
	if float64(most) > bound {
		return exitBroken
	}
	return exitHeld
}
