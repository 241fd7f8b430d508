// Package stand keeps this node's lease.
//
// # Usage
//
//	systems = append(systems, &stand.System{})
//
// It reads nodes and the placement; it writes the lease and the time at which
// the placement settled. Package lease has the argument why this is safe.
package stand

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/lease"
)

// System keeps the lease. The zero value works; it keeps a buffer.
type System struct {
	count lease.Count
	lost  bool
}

// Name returns the system's name.
func (*System) Name() string { return "stand" }

// Run computes the lease anew.
func (s *System) Run(w *world.World, now time.Duration) {
	s.lease(w, now)
	s.settle(w, now)
}

// lease computes the lease. Until the placement in use is settled, a majority of
// the previous members is needed as well: they may know something newer that the
// new ones do not.
func (s *System) lease(w *world.World, now time.Duration) {
	until := s.until(w, w.Placement().Members(), now)
	if w.SettledAt() == 0 && len(w.Placement().Previous()) > 0 {
		until = min(until, s.until(w, w.Placement().Previous(), now))
	}
	if w.Config().Revision() == 0 {
		until = 0
	}
	w.SetLease(max(w.Lease(), until))
	s.report(w, w.Lease() <= now)
}

// until returns the end of the lease that a majority of some members gives.
func (s *System) until(w *world.World, all []lagoon.Member, now time.Duration) time.Duration {
	members := remaining(w, all)
	s.count.Reset(len(members))
	for _, m := range members {
		if m.Name() == w.Self().Name() {
			s.count.Self(now)
			continue
		}
		n, ok := w.Nodes().Find(m.Name())
		if ok && n.Member().Start() == m.Start() && n.Returned() > 0 {
			s.count.Add(n.Returned())
		}
	}
	return s.count.Until(lease.Length)
}

// report records when the lease is lost and found.
func (s *System) report(w *world.World, lost bool) {
	if lost == s.lost || (w.Placement().Version() == 0) {
		return
	}
	s.lost = lost
	if lost {
		w.Act("lease_lost", w.Self().Name(), "no majority of the members returned a heartbeat within the lease; this node takes on nothing and sends nothing")
		return
	}
	w.Act("lease_held", w.Self().Name(), "a majority of the members returned a heartbeat")
}

// remaining returns the members whose run has not surely ended.
func remaining(w *world.World, members []lagoon.Member) []lagoon.Member {
	out := make([]lagoon.Member, 0, len(members))
	for _, m := range members {
		if !w.RunGone(m) {
			out = append(out, m)
		}
	}
	return out
}

// settle notes when a majority of the previous members knows the placement and
// no configuration newer than this node's. From then on this node's own
// configuration is as new as any that is in force.
func (s *System) settle(w *world.World, now time.Duration) {
	if w.SettledAt() > 0 || w.Placement().Version() == 0 {
		return
	}
	previous := remaining(w, w.Placement().Previous())
	know := 0
	for _, m := range previous {
		n, ok := w.Nodes().Find(m.Name())
		mine := m.Name() == w.Self().Name()
		if mine || (ok && n.Member().Start() == m.Start() && n.Placement() >= w.Placement().Version() && n.Config() <= w.Config().Revision()) {
			know++
		}
	}
	if know*2 > len(previous) || len(previous) == 0 {
		w.SetSettledAt(now)
	}
}

// InForce reports whether the previous owners' leases have surely ended.
func InForce(w *world.World, now time.Duration) bool {
	if w.Placement().Version() == 0 || w.SettledAt() == 0 {
		return false
	}
	return len(w.Placement().Previous()) == 0 || now >= w.SettledAt()+lease.Settle
}
