package trfc_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/orgs"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// newOrganisation returns an organisation with one key, and a priority unless it is negative.
func newOrganisation(name, key string, priority int) lagoon.Organisation {
	var o lagoon.Organisation
	o.SetName(name)
	o.SetKeys([]string{key})
	o.SetPriority(max(priority, 0))
	o.SetHasPriority(priority >= 0)
	return o
}

// identify publishes the current view again, changed so that callers need a key.
func (s *sim) identify(change func(v *view.View), organisations ...lagoon.Organisation) {
	v := *s.publishedView.Load()
	v.SetIdentified(true)
	v.SetOrganisations(orgs.New(organisations))
	if change != nil {
		change(&v)
	}
	s.publishedView.Store(&v)
}

// submitWithKey submits a request with a key.
func (s *sim) submitWithKey(key string) *request {
	reply := make(chan lagoon.Response, 1)
	q := &request{id: "k" + key, started: s.now}
	s.pending[reply] = q
	var a lagoon.Request
	a.SetID(q.id)
	a.SetHost("desk")
	a.SetPath("/x")
	a.SetKey(key)
	row := &reqs.Row{}
	row.SetRequest(a)
	row.SetResponseChan(reply)
	row.SetArrivedAt(s.now)
	s.tick(row)
	return q
}

// TestKeyAtAdmission guards against a 401 for what a newer catalog may allow, and against
// requests that servers get without a key or in the name of another organisation.
func TestKeyAtAdmission(t *testing.T) {
	outdated := func(v *view.View) { v.SetCatalogOutdated(true) }
	unreachable := func(v *view.View) { v.SetRegistryReachable(false) }
	unconfirmed := func(v *view.View) { v.SetCatalogValidUntil(time.Millisecond) }
	tests := []struct {
		name, key    string
		public       bool
		change       func(v *view.View)
		silent       time.Duration // since control ran last
		want         lagoon.RequestOutcome
		organisation string
	}{
		{"known key", "k-a", false, nil, 0, lagoon.RequestGathered, "a"},
		{"key of another organisation", "k-b", false, nil, 0, lagoon.RequestGathered, "b"},
		{"no key", "", false, nil, 0, lagoon.RequestUnauthorized, ""},
		{"unknown key", "k-c", false, nil, 0, lagoon.RequestUnauthorized, ""},
		{"public route", "", true, nil, 0, lagoon.RequestGathered, ""},
		{"public route with a key", "k-a", true, nil, 0, lagoon.RequestGathered, ""},
		{"public route, control stands still", "", true, nil, 2 * time.Second, lagoon.RequestGathered, ""},
		{"unknown key, newer catalog exists", "k-c", false, outdated, 0, lagoon.RequestRefused, ""},
		{"unknown key, no registry", "k-c", false, unreachable, 0, lagoon.RequestRefused, ""},
		{"no key, no registry", "", false, unreachable, 0, lagoon.RequestRefused, ""},
		{"known key, newer catalog exists", "k-a", false, outdated, 0, lagoon.RequestGathered, "a"},
		{"known key, no registry", "k-a", false, unreachable, 0, lagoon.RequestGathered, "a"},
		{"known key, catalog not confirmed in time", "k-a", false, unconfirmed, 0, lagoon.RequestRefused, ""},
		{"known key, catalog not confirmed, no registry", "k-a", false, func(v *view.View) { unconfirmed(v); unreachable(v) }, 0, lagoon.RequestGathered, "a"},
		{"known key, control stands still", "k-a", false, nil, 2 * time.Second, lagoon.RequestRefused, ""},
		{"no catalog yet", "k-a", false, func(v *view.View) { v.SetSynced(false) }, 0, lagoon.RequestRefused, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1)
			s.now = 10 * time.Second
			route := gatherRoute(s.addShards(3, 10*time.Millisecond))
			route.SetPublic(test.public)
			s.publish(route)
			s.identify(test.change, newOrganisation("a", "k-a", -1), newOrganisation("b", "k-b", 2))
			var tick atomic.Int64
			tick.Store(int64(s.now - test.silent))
			s.loop.SetControlTick(&tick)
			q := s.submitWithKey(test.key)
			s.runUntil(s.now + time.Second)
			if got := q.response.Outcome(); got != test.want {
				t.Fatalf("got outcome %s (%s), want %s", got, q.response.Reason(), test.want)
			}
			if test.want != lagoon.RequestGathered && len(s.attempts) > 0 {
				t.Errorf("got %d attempts, want none", len(s.attempts))
			}
			for _, a := range s.attempts {
				if !a.Identified() || a.Organisation() != test.organisation {
					t.Errorf("got an attempt for organisation %q, identified %t, want %q and true", a.Organisation(), a.Identified(), test.organisation)
				}
			}
		})
	}
}

// TestOrganisationOfAdmission guards against requests that change their organisation, or lose
// it, because their key is moved or removed while they wait.
func TestOrganisationOfAdmission(t *testing.T) {
	s := newSim(t, 1)
	s.publish(gatherRoute(s.addShards(3, 100*time.Millisecond)))
	for _, server := range s.servers {
		server.refusalRate = 1
	}
	s.identify(nil, newOrganisation("a", "k", -1))
	s.submitWithKey("k")
	s.identify(nil, newOrganisation("b", "k", -1))
	for _, server := range s.servers {
		server.refusalRate = 0
	}
	s.runUntil(s.now + 2*time.Second)
	s.submitWithKey("k")
	s.identify(nil)
	if got, want := s.submitWithKey("k").response.Outcome(), lagoon.RequestUnauthorized; got != want {
		t.Errorf("got outcome %s after the key was removed, want %s", got, want)
	}
	s.runUntil(s.now + 2*time.Second)
	seen := map[string]int{}
	for _, a := range s.attempts {
		seen[a.Organisation()]++
	}
	if seen["a"] < 3 || seen["b"] < 3 || len(seen) != 2 {
		t.Errorf("got attempts by organisation %v, want at least 3 for a and for b, and no others", seen)
	}
	if got, want := s.completed[len(s.completed)-1].response.Outcome(), lagoon.RequestGathered; got != want {
		t.Errorf("got outcome %s of the request whose key was removed while it ran, want %s", got, want)
	}
}

// TestPriorityOfOrganisation guards against an order by the route's priority where the
// organisation declares its own.
func TestPriorityOfOrganisation(t *testing.T) {
	s := newSim(t, 1)
	route := gatherRoute(s.addShards(1, 10*time.Millisecond))
	route.SetPriority(1)
	s.publish(route)
	s.identify(nil, newOrganisation("urgent", "k-0", 0), newOrganisation("plain", "k-1", -1), newOrganisation("late", "k-2", 2))
	for i, want := range []int{0, 1, 2} {
		s.submitWithKey([]string{"k-0", "k-1", "k-2"}[i])
		if got := s.loop.Requests().At(i).Rank(); got != want {
			t.Errorf("request %d: got rank %d, want %d", i, got, want)
		}
	}
}
