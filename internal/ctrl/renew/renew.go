// Package renew extends this node's lease.
//
// # Usage
//
//	systems = append(systems, &renew.System{})
//
// It reads nodes and the placement, and writes the lease and the time at which the
// placement settled. Package lease explains why the lease is safe.
package renew

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/lease"
)

// System extends the lease. The zero value is ready to use.
type System struct {
	quorum    lease.Quorum // reused buffer
	leaseLost bool
}

// Name returns the system's name.
func (*System) Name() string { return "renew" }

// Run extends the lease and checks whether the placement has settled.
func (s *System) Run(w *world.World, now time.Duration) {
	s.updateLease(w, now)
	s.detectSettled(w, now)
}

// updateLease extends the lease. Until the placement in use has settled, it also
// requires a majority of the previous members: they may have a newer configuration
// that the new members lack.
func (s *System) updateLease(w *world.World, now time.Duration) {
	expiry := s.majorityLease(w, w.Placement().Members(), now)
	if w.SettledAt() == 0 && len(w.Placement().PreviousMembers()) > 0 {
		expiry = min(expiry, s.majorityLease(w, w.Placement().PreviousMembers(), now))
	}
	if w.Config().Revision() == 0 {
		expiry = 0
	}
	w.SetLeaseUntil(max(w.LeaseUntil(), expiry))
	s.recordLeaseChange(w, w.LeaseUntil() <= now)
}

// majorityLease returns the expiry of the lease that a majority of the given members
// supports.
func (s *System) majorityLease(w *world.World, all []lagoon.Member, now time.Duration) time.Duration {
	members := membersNotEnded(w, all)
	s.quorum.Reset(len(members))
	for _, m := range members {
		if m.Name() == w.Self().Name() {
			s.quorum.AddSelf(now)
			continue
		}
		n, ok := w.Nodes().Find(m.Name())
		if ok && n.Member().StartID() == m.StartID() && n.EchoedSentAt() > 0 {
			s.quorum.Add(n.EchoedSentAt())
		}
	}
	return s.quorum.Expiry(lease.Length)
}

// recordLeaseChange logs when the lease is lost or regained.
func (s *System) recordLeaseChange(w *world.World, lost bool) {
	if lost == s.leaseLost || (w.Placement().Version() == 0) {
		return
	}
	s.leaseLost = lost
	if lost {
		w.RecordAction("lease_lost", w.Self().Name(), "no majority of the members returned a heartbeat within the lease period; this node refuses queries and sends no requests to servers")
		return
	}
	w.RecordAction("lease_held", w.Self().Name(), "a majority of the members returned a heartbeat")
}

// membersNotEnded returns the members whose run is not known to have ended.
func membersNotEnded(w *world.World, members []lagoon.Member) []lagoon.Member {
	out := make([]lagoon.Member, 0, len(members))
	for _, m := range members {
		if !w.RunEnded(m) {
			out = append(out, m)
		}
	}
	return out
}

// detectSettled records when a majority of the previous members has the placement and
// no newer configuration than this node. From then on, this node's
// configuration is at least as new as any configuration in force.
func (s *System) detectSettled(w *world.World, now time.Duration) {
	if w.SettledAt() > 0 || w.Placement().Version() == 0 {
		return
	}
	previous := membersNotEnded(w, w.Placement().PreviousMembers())
	count := 0
	for _, m := range previous {
		n, ok := w.Nodes().Find(m.Name())
		isSelf := m.Name() == w.Self().Name()
		if isSelf || (ok && n.Member().StartID() == m.StartID() && n.PlacementVersion() >= w.Placement().Version() && n.ConfigRevision() <= w.Config().Revision()) {
			count++
		}
	}
	if count*2 > len(previous) || len(previous) == 0 {
		w.SetSettledAt(now)
	}
}

// PlacementInForce reports whether the leases of the previous owners are certain to
// have expired.
func PlacementInForce(w *world.World, now time.Duration) bool {
	if w.Placement().Version() == 0 || w.SettledAt() == 0 {
		return false
	}
	return len(w.Placement().PreviousMembers()) == 0 || now >= w.SettledAt()+lease.TakeoverDelay
}
