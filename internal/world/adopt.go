package world

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
)

// AdoptConfig takes a configuration into the tables if it is newer than the
// one in use, and reports whether it was.
func (w *World) AdoptConfig(c lagoon.Config, source string) bool {
	if c.Revision() <= w.config.Revision() {
		return false
	}
	before := w.config
	w.config = c
	w.Touch()
	w.configAt = w.clock.Now()
	w.beatSoon = true
	w.takeZones(c, c.Revision() > before.Revision()+1)
	w.takeServices(c)
	w.Act("config_adopted", "config", fmt.Sprintf("revision %d replaces %d, learned from %s", c.Revision(), before.Revision(), source))
	return true
}

// takeZones updates the zones. skipped says that revisions in between were not
// seen; a zone that was changed in them may have been out meanwhile.
func (w *World) takeZones(c lagoon.Config, skipped bool) {
	seen := map[string]bool{}
	for _, z := range c.Zones() {
		seen[z.Name()] = true
		row := w.zones.Ensure(z.Name())
		out := z.State() == "out"
		if out != row.Out() {
			w.Act("zone_"+map[bool]string{true: "out", false: "in"}[out], z.Name(), "declared by operators: "+z.Reason())
		}
		mayBeBack := row.Out() || (skipped && row.Version() > 0 && row.Version() != z.Version())
		if !out && mayBeBack {
			row.SetReturned(z.Version())
		}
		row.SetOut(out)
		row.SetVersion(z.Version())
		row.SetReason(z.Reason())
	}
	for i := w.zones.Len() - 1; i >= 0; i-- {
		if !seen[w.zones.Key(i)] {
			w.zones.Remove(w.zones.ID(i))
		}
	}
}

func (w *World) takeServices(c lagoon.Config) {
	seen := map[string]bool{}
	for _, s := range c.Services() {
		seen[s.Name()] = true
		row := w.svcs.Ensure(s.Name())
		row.SetService(s)
		row.SetRule(ruleOf(c, s.Name()))
		for _, spec := range s.Servers() {
			seen["server "+spec.Name()] = true
			server := w.servers.Ensure(spec.Name())
			server.SetSpec(spec)
			server.SetService(s.Name())
		}
	}
	for i := w.svcs.Len() - 1; i >= 0; i-- {
		if !seen[w.svcs.Key(i)] {
			w.svcs.Remove(w.svcs.ID(i))
		}
	}
	for i := w.servers.Len() - 1; i >= 0; i-- {
		if !seen["server "+w.servers.Key(i)] {
			w.servers.Remove(w.servers.ID(i))
		}
	}
}

// Defaults of a service without a rule.
const (
	defaultDeadlineMilli = 1000
	defaultHedgePercent  = 4
	defaultWeight        = 50
)

// ruleOf returns the rule of a service, with defaults for what it leaves out.
func ruleOf(c lagoon.Config, service string) lagoon.Rule {
	var r lagoon.Rule
	r.SetHedgePercent(defaultHedgePercent)
	for _, rule := range c.Rules() {
		if rule.Service() == service {
			r = rule
		}
	}
	if r.DeadlineMilli() == 0 {
		r.SetDeadlineMilli(defaultDeadlineMilli)
	}
	if r.Weight() == 0 {
		r.SetWeight(defaultWeight)
	}
	if r.Prefer() == "coverage" && r.MinCoverage() == 0 {
		r.SetMinCoverage(1)
	}
	return r
}

// AdoptPlacement takes a placement into the tables if it is newer than the one
// in use, and reports whether it was.
func (w *World) AdoptPlacement(p lagoon.Placement, source string) bool {
	if p.Version() <= w.placement.Version() {
		return false
	}
	w.placement = p
	w.Touch()
	w.placedAt = w.clock.Now()
	w.settledAt = 0
	w.beatSoon = true
	w.Act("placement_adopted", "placement", fmt.Sprintf("version %d with %d members, learned from %s", p.Version(), len(p.Members()), source))
	return true
}

// Live reports whether a node was heard lately in its latest run.
func (w *World) Live(name string, now time.Duration) bool {
	if name == w.self.Name() {
		return true
	}
	n, ok := w.nodes.Find(name)
	return ok && n.Heard() > 0 && now-n.Heard() < DeadAfter && !n.Gone()
}

// RunGone reports whether one run of a node has surely ended: a later run was
// heard of, or the platform's instance list dropped it long ago.
func (w *World) RunGone(m lagoon.Member) bool {
	if m.Name() == w.self.Name() {
		return m.Start() != w.self.Start()
	}
	n, ok := w.nodes.Find(m.Name())
	if !ok {
		return false
	}
	return n.Member().Start() > m.Start() || (n.Gone() && n.Member().Start() == m.Start())
}

// Do runs f on the control goroutine and waits for it. It returns false when
// control has stopped.
func (w *World) Do(f func(*World)) bool {
	done := make(chan struct{})
	apply := func(w *World) {
		f(w)
		close(done)
	}
	if err := w.box.Post(w.ctx, apply); err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-w.ctx.Done():
		return false
	}
}
