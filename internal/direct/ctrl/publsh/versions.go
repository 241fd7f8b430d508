package publsh

import (
	"math"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/terms"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// rolloutsKnown reports whether the orders to roll out versions have been received, or the
// deployment has none.
func rolloutsKnown(s *state.State) bool {
	topic, ok := s.Rollouts()
	return !ok || topic.Synced()
}

// settledVersions returns the versions of each service that were announced before the revision
// up to which this node knows the orders. It returns nil in deployments without roll-outs.
func settledVersions(s *state.State) map[string]map[string]bool {
	topic, ok := s.Rollouts()
	if !ok {
		return nil
	}
	settled := map[string]map[string]bool{}
	for i := range s.Servers().Len() {
		replica := s.Servers().At(i).Replica()
		if replica.Revision() > topic.Revision() {
			continue
		}
		if settled[replica.Service()] == nil {
			settled[replica.Service()] = map[string]bool{}
		}
		settled[replica.Service()][replica.Version()] = true
	}
	return settled
}

// versionUsable reports whether an order allows the version of a server at all. The first
// servers of a new version may be announced before their order, or become known before it. They
// are not used until the orders are known up to their announcement.
func versionUsable(s *state.State, settled map[string]map[string]bool, r *lagoon.Replica) bool {
	if settled == nil {
		return true
	}
	if row, ok := s.Orders().Find(r.Service()); ok && !row.Allowed(r.Version()) {
		return false
	}
	versions := settled[r.Service()]
	if len(versions) == 0 || versions[r.Version()] {
		return true
	}
	s.SetViewStale(true) // to be looked at again in the next tick
	return false
}

// setTerms sets the terms of the services with an open roll-out.
func setTerms(s *state.State, v *view.View) {
	var byService map[string]*terms.Terms
	for i := range s.Orders().Len() {
		row := s.Orders().At(i)
		if !row.Open() {
			continue
		}
		order := row.Order()
		t := &terms.Terms{}
		t.SetTarget(order.TargetVersion())
		t.SetOrder(row.OpenedRevision())
		t.SetOldUntil(row.OldUntil())
		t.SetOldFrom(row.OldFrom())
		if row.Committed() {
			t.SetOldFrom(math.MaxInt64)
		}
		if !row.Rejected() {
			t.SetShare(row.Share())
			t.SetShift(row.Shift())
			t.SetTargetUntil(row.TargetUntil())
			t.SetBadLimit(row.BadLimit())
		}
		if byService == nil {
			byService = map[string]*terms.Terms{}
		}
		byService[order.Service()] = t
	}
	v.SetVersionTerms(byService)
}
