package standins_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// turnedAwayFor is how long the store turns two of six nodes away.
const turnedAwayFor = 9 * time.Second

// lapse turns the nodes away that follow the store for all, while a server leaves that never says
// so.
func lapse(b *bench) int {
	var servers []*server
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: []string{"desk", "book"}[i/2], zone: "north-a", slots: 4, queue: 24}
		free := make(chan struct{}, s.slots)
		s.answer = func(w http.ResponseWriter, r *http.Request, _ int) bool {
			free <- struct{}{}
			time.Sleep(time.Duration(float64(8*time.Millisecond) * math.Exp(workSpread*rand.NormFloat64())))
			<-free
			s.respond(w, r.Header.Get("Request-Id"))
			return true
		}
		s.start(b.store)
		servers = append(servers, s)
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 208, "warmupS": 3.0, "warmupPerS": 0.0}
	}
	configuration := config(7, service("desk"), nil)
	configuration["services"] = []any{service("desk"), service("book")}
	b.store.put("config", "main", configuration)
	d := newRegions(b, []string{"north-1", "north-2", "north-3", "north-4", "north-5", "north-6"}, "", plainContracts)
	if d == nil {
		return exitCannotRun
	}
	c := newCallers()
	for _, n := range d.nodes {
		c.call(n, "find", "", 25)
	}
	time.Sleep(calmTime)
	away := map[string]bool{}
	if b.trouble {
		for _, n := range d.nodes {
			if n.door.watches() > 0 {
				away[n.name] = true
				n.door.reject(true)
			}
		}
		b.record.say("the store turns these nodes away, whose watches waited: %v", away)
		if len(away) != 2 {
			return exitCannotRun
		}
		time.Sleep(50 * time.Millisecond)
	}
	leaving := servers[1]
	b.store.remove("servers", leaving.id)
	removed := time.Now()
	b.record.say("the entry of %s is removed; the server goes on serving", leaving.id)
	time.Sleep(turnedAwayFor)
	for _, n := range d.nodes {
		if away[n.name] {
			n.door.reject(false)
		}
	}
	time.Sleep(time.Second)
	c.end()
	late := 0
	for _, r := range leaving.runs {
		if !r.at.After(removed) {
			continue
		}
		from, _, _ := strings.Cut(r.id, "-find")
		after := r.at.Sub(removed)
		b.record.add("%s sent at %.3f to %s, turned away %t, reached the server %.3f s after the removal, answered %d", r.id, b.seconds(c.sent[r.id].at), from, away[from], after.Seconds(), c.sent[r.id].status)
		if after > drainTime && !away[from] {
			late++
		}
	}
	answers := map[int]int{}
	for _, s := range c.sent {
		answers[s.status]++
	}
	b.record.say("answers, 0 for none: %v", answers)
	b.record.say("%d requests from nodes that were not turned away reached the server later than %s after the removal; the rule allows none", late, drainTime)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
