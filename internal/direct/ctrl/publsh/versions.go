package publsh

import (
	"math"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/server"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/terms"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// observeVersions records the versions of the announced servers in the orders for their services.
// Every change of servers or orders marks the view stale, so none is missed.
func observeVersions(s *state.State) {
	if s.Orders().Len() == 0 {
		return
	}
	for i := range s.Servers().Len() {
		replica := s.Servers().At(i).Replica()
		if row, ok := s.Orders().Find(replica.Service()); ok {
			row.ObserveVersion(replica.Version(), replica.Revision())
		}
	}
}

// settled holds what is known of the versions of a service that has servers of several.
type settled struct {
	versions map[string]bool // the versions announced before the revision up to which this node knows the orders
	usable   bool            // whether a server of these versions is in regular use
}

// settledVersions returns the settled versions by service. Services whose servers all have the
// same version are left out, because no other version could be used instead. It returns nil in
// deployments without roll-outs.
func settledVersions(s *state.State) map[string]*settled {
	topic, ok := s.Rollouts()
	if !ok {
		return nil
	}
	mixed := mixedServices(s)
	if len(mixed) == 0 {
		return nil
	}
	for i := range s.Servers().Len() {
		replica := s.Servers().At(i).Replica()
		if known := mixed[replica.Service()]; known != nil && replica.Revision() <= topic.Revision() {
			known.versions[replica.Version()] = true
		}
	}
	if topic.Revision() == 0 {
		settleEarliest(s, mixed)
	}
	for i := range s.Servers().Len() {
		row := s.Servers().At(i)
		replica := row.Replica()
		if known := mixed[replica.Service()]; known != nil && known.versions[replica.Version()] && inUse(s, row) {
			known.usable = true
		}
	}
	return mixed
}

// settleEarliest makes the version whose servers were announced first the settled one of each
// service. A node that started and serves without the orders cannot tell whether another version
// is the target of an open order, and the servers of a target are announced after the old ones.
func settleEarliest(s *state.State, mixed map[string]*settled) {
	earliest := map[string]lagoon.Replica{}
	for i := range s.Servers().Len() {
		row := s.Servers().At(i)
		replica := row.Replica()
		if mixed[replica.Service()] == nil || !inUse(s, row) {
			continue
		}
		if first, ok := earliest[replica.Service()]; !ok || replica.Revision() < first.Revision() {
			earliest[replica.Service()] = replica
		}
	}
	for service, replica := range earliest {
		mixed[service].versions[replica.Version()] = true
	}
}

// mixedServices returns the services that have servers of several versions.
func mixedServices(s *state.State) map[string]*settled {
	versions := map[string]string{}
	var mixed map[string]*settled
	for i := range s.Servers().Len() {
		replica := s.Servers().At(i).Replica()
		first, ok := versions[replica.Service()]
		switch {
		case !ok:
			versions[replica.Service()] = replica.Version()
		case first != replica.Version() && mixed[replica.Service()] == nil:
			if mixed == nil {
				mixed = map[string]*settled{}
			}
			mixed[replica.Service()] = &settled{versions: map[string]bool{}}
		}
	}
	return mixed
}

// inUse reports whether a server is announced, is not draining, is in a zone in service and has
// a version that no order excludes.
func inUse(s *state.State, row *server.Row) bool {
	replica := row.Replica()
	return !replica.Draining() && row.UnannouncedAt() == 0 && !s.ZonesOut()[replica.Zone()] && allowed(s, &replica)
}

// allowed reports whether no order excludes the version of a server.
func allowed(s *state.State, r *lagoon.Replica) bool {
	row, ok := s.Orders().Find(r.Service())
	return !ok || row.Allowed(r.Version())
}

// versionUsable reports whether an order allows the version of a server at all. The first
// servers of a new version may be announced before their order, or become known before it. They
// are not used until the orders are known up to their announcement, unless the service has no
// other server in regular use.
func versionUsable(s *state.State, services map[string]*settled, r *lagoon.Replica) bool {
	if !allowed(s, r) {
		return false
	}
	known := services[r.Service()]
	if known == nil || !known.usable || known.versions[r.Version()] {
		return true
	}
	if s.WaitingRevision() == 0 || r.Revision() < s.WaitingRevision() {
		s.SetWaitingRevision(r.Revision())
	}
	return false
}

// waitEnded reports whether the orders are now known up to an announcement that the published
// view leaves out. Marking the view stale in every tick instead would rebuild it and elect the
// hubs each time.
func waitEnded(s *state.State) bool {
	topic, ok := s.Rollouts()
	return ok && s.WaitingRevision() > 0 && topic.Revision() >= s.WaitingRevision()
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
