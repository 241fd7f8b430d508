package standins_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// The services: shards of two servers each, of which some are emptied and taken away.
const (
	drainShards   = 10
	drainedShards = 3 // of the 20 servers 0.15
	heartbeat     = 1200 * time.Millisecond
	drainTime     = 3 * time.Second
	silentFor     = 5 * time.Second // for which these servers do not reach the store
	servesFor     = 9 * time.Second // after it has reported that it drains
	workSpread    = 0.35
)

// drain empties servers, which then do not reach the store for a while.
func drain(b *bench) int {
	var gather []string
	var services []any
	var leaving []*server
	for i := range drainShards {
		service := fmt.Sprintf("shard-%d", i)
		gather = append(gather, service)
		services = append(services, map[string]any{"name": service, "healthPath": "/health", "maxConns": 76, "warmupS": 3.0, "warmupPerS": 0.0})
		for j := range 2 {
			s := &server{id: fmt.Sprintf("i-%d-%d", i, j), service: service, zone: "north-a", slots: 4, queue: 24}
			free := make(chan struct{}, s.slots)
			s.answer = func(w http.ResponseWriter, r *http.Request, _ int) bool {
				free <- struct{}{}
				time.Sleep(time.Duration(float64(20*time.Millisecond) * math.Exp(workSpread*rand.NormFloat64())))
				<-free
				s.respond(w, r.Header.Get("Request-Id"))
				return true
			}
			s.start(b.store)
			if j == 1 && i < drainedShards {
				leaving = append(leaving, s)
			}
		}
	}
	configuration := config(7, map[string]any{"name": "none"}, nil)
	configuration["routes"] = []any{map[string]any{"name": "r-1", "host": "look.example", "pathPrefix": "/find/", "kind": "safe", "timeoutMs": 1500, "sloMs": 150, "priority": 1, "gather": gather, "topK": 20, "minCoverage": 0.89, "maxAttempts": 2}}
	configuration["services"] = services
	b.store.put("config", "main", configuration)
	d := newRegions(b, []string{"north-1", "north-2", "north-3"}, "", plainContracts)
	if d == nil {
		return exitCannotRun
	}
	c := newCallers()
	for _, n := range d.nodes {
		c.call(n, "find", "", 30)
	}
	time.Sleep(calmTime)
	for _, s := range leaving {
		s.state = "draining"
		s.announce(b.store, 0)
	}
	drained := time.Now()
	b.record.say("the store has accepted that %d of 20 servers are draining", len(leaving))
	if b.trouble {
		time.Sleep(3 * heartbeat)
		for _, s := range leaving {
			b.store.remove("servers", s.id)
		}
		b.record.say("the store has not heard these servers for three heartbeats and removes their entries")
		time.Sleep(silentFor - 3*heartbeat)
		for _, s := range leaving {
			s.announce(b.store, 0)
		}
		b.record.say("these servers reach the store again and report that they are draining")
	}
	time.Sleep(time.Until(drained.Add(servesFor)))
	for _, s := range leaving {
		b.store.remove("servers", s.id)
	}
	time.Sleep(time.Second)
	c.end()
	late := 0
	for _, s := range leaving {
		for _, r := range s.runs {
			b.record.add("%s sent at %.3f, reached %s at %.3f, answered %d", r.id, b.seconds(c.sent[r.id].at), s.id, b.seconds(r.at), c.sent[r.id].status)
			if r.at.After(drained.Add(drainTime)) {
				late++
			}
		}
	}
	answers := map[int]int{}
	for _, s := range c.sent {
		answers[s.status]++
	}
	b.record.say("answers, 0 for none: %v", answers)
	b.record.say("%d requests reached the draining servers later than %s after the report; the rule allows none", late, drainTime)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
