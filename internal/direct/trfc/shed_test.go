// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package trfc_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/trfc"
	"github.com/lagoontrail/lagoon/pkg/shed"
)

// shedRequests returns the number of requests that admission control refused.
func (x *loadTest) shedRequests() (n int) {
	for _, c := range x.calls {
		n += c.shed
	}
	return n
}

// Guards against admission control that refuses requests which would have been served: at the
// usual load, ordinary faults are left to the choice of servers, to retries and to hedges.
func TestOrdinaryFaultsShedNothing(t *testing.T) {
	for _, f := range []struct {
		name  string
		apply func(x *loadTest)
	}{
		{"calm", func(*loadTest) {}},
		{"one server slow", func(x *loadTest) { x.servers["shard-3a"].slowdown = 8 }},
		{"one server pauses for long", func(x *loadTest) { x.servers["shard-3a"].pauseLength = time.Second }},
		{"one server crashed", func(x *loadTest) { x.servers["shard-3a"].unreachable = true }},
		{"responses lost", func(x *loadTest) {
			for _, srv := range x.servers {
				srv.lossRate = 0.02
			}
		}},
		{"one server refuses", func(x *loadTest) { x.servers["shard-3a"].refusalRate = 0.6 }},
	} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				x := newLoadTest(t, seed+10)
				x.schedule(loadStart, func() { f.apply(x) })
				x.run()
				n := x.count(func(*call) bool { return true })
				t.Logf("seed %d: %s", seed+10, n)
				if got := x.shedRequests(); got != 0 {
					t.Errorf("seed %d: requests refused by admission control: got %d, want none", seed+10, got)
				}
			}
		})
	}
}

// Guards against admission control that serves fewer callers than none would: two shards have
// one server left, which can do five sixths of their work, and a response may lack one shard.
func TestHotShardsServeNoLess(t *testing.T) {
	replay := func(seed uint64, policy lagoon.AdmissionPolicy) counts {
		x := newLoadTest(t, seed)
		for _, s := range x.nodes {
			s.loop.SetAdmissionPolicy(policy)
		}
		x.schedule(loadStart, func() { x.servers["shard-3a"].unreachable, x.servers["shard-7b"].unreachable = true, true })
		x.run()
		return x.count(isSettled)
	}
	for seed := range uint64(3) {
		with, without := replay(seed+10, shed.Policy{}), replay(seed+10, nil)
		t.Logf("seed %d: with %s; without %s", seed+10, with, without)
		if got, want := with.served(), without.served()-0.02; got < want {
			t.Errorf("seed %d: served: got %.3f, want at least %.3f", seed+10, got, want)
		}
	}
}

// Guards against a change for deployments without organisations whose servers report no speed:
// under overload they decide exactly as without an admission policy.
func TestOtherDeploymentsAreUnchanged(t *testing.T) {
	replay := func(policy bool) *loadTest {
		x := newLoadTest(t, 1)
		x.anonymous = true
		for _, srv := range x.servers {
			srv.reportsSpeed = false
		}
		for _, s := range x.nodes {
			s.loop.SetAdmissionPolicy(nil)
			if policy {
				s.loop.SetAdmissionPolicy(shed.Policy{})
			}
		}
		x.factor = func(kind, _ int) float64 { return [loadKinds]float64{1, 2, 1}[kind] }
		x.run()
		return x
	}
	with, without := replay(true), replay(false)
	if got, want := len(with.calls), len(without.calls); got != want {
		t.Fatalf("calls: got %d, want %d", got, want)
	}
	for i, c := range with.calls {
		if *c != *without.calls[i] {
			t.Fatalf("call %d: got %+v with a policy, want %+v as without", i, *c, *without.calls[i])
		}
	}
	t.Logf("%d calls: %s", len(with.calls), with.count(func(*call) bool { return true }))
}

// limitConns lets each node have one attempt in flight at each server.
func (s *sim) limitConns() {
	v := *s.publishedView.Load()
	pools := map[string]lagoon.Pool{}
	for name := range v.Pools() {
		var p lagoon.Pool
		p.SetMaxConns(1)
		pools[name] = p
	}
	v.SetPools(pools)
	s.publishedView.Store(&v)
}

// Guards against a new request that takes the slot which a nearly complete one still needs, so
// that the work already done for that one is lost.
func TestNearlyCompleteRequestComesFirst(t *testing.T) {
	for _, governed := range []bool{false, true} {
		m := newManualSim(t, gatherRoute([]string{"shard-0", "shard-1"}), 2)
		delete(m.servers, "shard-1b")
		delete(m.servers, "shard-1c")
		m.publish(gatherRoute([]string{"shard-0", "shard-1"}))
		m.limitConns()
		if governed {
			m.loop.SetSystems(slices.Insert(trfc.Systems(), 1, lagoon.System[*loop.Loop](organise{})))
		}
		m.submit()
		m.end(attemptEnd{1, lagoon.StatusOK}) // the first request still has the only server of shard-1
		older, newer := m.submit(), m.submit()
		m.end(attemptEnd{4, lagoon.StatusOK}) // the first shard of the newer one
		m.end(attemptEnd{2, lagoon.StatusOK})
		if len(m.attempts) != 5 {
			t.Fatalf("attempts: got %d, want 5", len(m.attempts))
		}
		want := older.id
		if governed {
			want = newer.id
		}
		if got := m.attempts[4].ID(); got != want {
			t.Errorf("governed %t: got the slot for %s, want it for %s", governed, got, want)
		}
	}
}

// organise gives all requests an organisation.
type organise struct{}

// Name returns the system's name.
func (organise) Name() string { return "organise" }

// Run sets the organisations of the requests that arrived.
func (organise) Run(l *loop.Loop, _ time.Duration) {
	for _, id := range l.Arrived() {
		if req, ok := l.Requests().Resolve(id); ok {
			req.SetOrganisation("org")
		}
	}
}

// Guards against a request that waits for a slot until its deadline although no response can
// come in time any more: it is refused as soon as that is so, so that its caller can go
// elsewhere.
func TestPendingRequestThatIsTooLateIsRefusedAtOnce(t *testing.T) {
	for _, governed := range []bool{false, true} {
		s := newSim(t, 1)
		s.addShards(1, 200*time.Millisecond)
		delete(s.servers, "shard-0b")
		delete(s.servers, "shard-0c")
		s.publish(singleRoute(false))
		if governed {
			s.loop.SetSystems(slices.Insert(trfc.Systems(), 1, lagoon.System[*loop.Loop](organise{})))
		}
		s.runLoad(10, 5*time.Second)
		s.limitConns()
		s.servers["shard-0a"].silent = true
		const timeout = time.Second
		s.submitWithTimeout(timeout)
		q := s.submitWithTimeout(timeout)
		s.runUntil(s.now + 2*timeout)
		if got, want := q.response.Outcome(), lagoon.RequestRefused; got != want {
			t.Errorf("governed %t: got %s, want %s", governed, got, want)
		}
		early := q.elapsed < timeout-100*time.Millisecond
		if early != governed {
			t.Errorf("governed %t: refused after %s of %s", governed, q.elapsed, timeout)
		}
	}
}
