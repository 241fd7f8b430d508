package world

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
)

// AdoptConfig applies a configuration to the tables if it is newer than the one
// in use, and reports whether it did.
func (w *World) AdoptConfig(c lagoon.Config, source string) bool {
	if c.Revision() <= w.config.Revision() {
		return false
	}
	previous := w.config
	w.config = c
	w.InvalidateView()
	w.configAt = w.clock.Now()
	w.heartbeatDue = true
	w.applyZones(c, c.Revision() > previous.Revision()+1)
	w.applyServices(c)
	w.RecordAction("config_adopted", "config", fmt.Sprintf("revision %d replaces %d, received from %s", c.Revision(), previous.Revision(), source))
	return true
}

// applyZones updates the zones. skipped reports that this node missed revisions;
// a zone whose version changed in one of them may have been out in between.
func (w *World) applyZones(c lagoon.Config, skipped bool) {
	declared := map[string]bool{}
	for _, z := range c.Zones() {
		declared[z.Name()] = true
		row := w.zones.Ensure(z.Name())
		out := z.State() == "out"
		if out != row.Out() {
			w.RecordAction("zone_"+map[bool]string{true: "out", false: "in"}[out], z.Name(), "declared by operators: "+z.Reason())
		}
		mayHaveReturned := row.Out() || (skipped && row.Version() > 0 && row.Version() != z.Version())
		if !out && mayHaveReturned {
			row.SetRestoredVersion(z.Version())
		}
		row.SetOut(out)
		row.SetVersion(z.Version())
		row.SetReason(z.Reason())
	}
	for i := w.zones.Len() - 1; i >= 0; i-- {
		if !declared[w.zones.Key(i)] {
			w.zones.Remove(w.zones.ID(i))
		}
	}
}

func (w *World) applyServices(c lagoon.Config) {
	declared := map[string]bool{}
	for _, s := range c.Services() {
		declared[s.Name()] = true
		row := w.svcs.Ensure(s.Name())
		row.SetService(s)
		row.SetRule(effectiveRule(c, s.Name()))
		for _, spec := range s.Servers() {
			declared["server "+spec.Name()] = true
			server := w.servers.Ensure(spec.Name())
			server.SetSpec(spec)
			server.SetService(s.Name())
		}
	}
	for i := w.svcs.Len() - 1; i >= 0; i-- {
		if !declared[w.svcs.Key(i)] {
			w.svcs.Remove(w.svcs.ID(i))
		}
	}
	for i := w.servers.Len() - 1; i >= 0; i-- {
		if !declared["server "+w.servers.Key(i)] {
			w.servers.Remove(w.servers.ID(i))
		}
	}
}

// Rule values that apply where operators declare none.
const (
	defaultDeadlineMilli = 1000
	defaultHedgePercent  = 4
	defaultWeight        = 50
)

// effectiveRule returns the rule of a service, with defaults for omitted values.
func effectiveRule(c lagoon.Config, service string) lagoon.Rule {
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

// AdoptPlacement makes a placement the one in use if it is newer, and reports
// whether it did.
func (w *World) AdoptPlacement(p lagoon.Placement, source string) bool {
	if p.Version() <= w.placement.Version() {
		return false
	}
	w.placement = p
	w.InvalidateView()
	w.placementAt = w.clock.Now()
	w.settledAt = 0
	w.heartbeatDue = true
	w.RecordAction("placement_adopted", "placement", fmt.Sprintf("version %d with %d members, received from %s", p.Version(), len(p.Members()), source))
	return true
}

// Live reports whether the latest run of a node sent a heartbeat within
// FailureTimeout.
func (w *World) Live(name string, now time.Duration) bool {
	if name == w.self.Name() {
		return true
	}
	n, ok := w.nodes.Find(name)
	return ok && n.HeartbeatAt() > 0 && now-n.HeartbeatAt() < FailureTimeout && !n.Ended()
}

// RunEnded reports whether a run of a node is known to have ended: a later run
// is known, or the run has long sent no heartbeat and been missing from the instance list.
func (w *World) RunEnded(m lagoon.Member) bool {
	if m.Name() == w.self.Name() {
		return m.StartID() != w.self.StartID()
	}
	n, ok := w.nodes.Find(m.Name())
	if !ok {
		return false
	}
	return n.Member().StartID() > m.StartID() || (n.Ended() && n.Member().StartID() == m.StartID())
}

// Do runs f on the control goroutine and waits until it returns. It returns
// false after shutdown.
func (w *World) Do(f func(*World)) bool {
	done := make(chan struct{})
	apply := func(w *World) {
		f(w)
		close(done)
	}
	if err := w.mailbox.Post(w.ctx, apply); err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-w.ctx.Done():
		return false
	}
}
