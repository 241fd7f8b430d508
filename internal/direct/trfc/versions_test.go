package trfc_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/internal/direct/terms"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/versn"
)

// newVersionSim returns a simulation whose server in zone a, the nearest, has the target version
// v2 in each shard, and whose terms change sets.
func newVersionSim(t testing.TB, seed uint64, shards int, set func(*terms.Terms)) (*sim, *tally.Tally) {
	s := newSim(t, seed)
	counts := &tally.Tally{}
	s.loop.SetTally(counts)
	names := s.addShards(shards, 20*time.Millisecond)
	byService := map[string]*terms.Terms{}
	for _, name := range names {
		for _, zone := range []string{"a", "b", "c"} {
			version := "v1"
			if zone == "a" {
				version = "v2"
			}
			s.servers[name+zone].replica.SetVersion(version)
		}
		offered := &terms.Terms{}
		offered.SetTarget("v2")
		offered.SetOrder(5)
		offered.SetShare(0.06)
		offered.SetTargetUntil(time.Hour)
		set(offered)
		byService[name] = offered
	}
	s.publish(gatherRoute(names))
	v := *s.publishedView.Load()
	v.SetVersionTerms(byService)
	s.publishedView.Store(&v)
	return s, counts
}

// attemptsByVersion returns the number of attempts at a service by version.
func (s *sim) attemptsByVersion(service string) map[string]int {
	counts := map[string]int{}
	for _, a := range s.attempts {
		if r := a.Replica(); r.Service() == service {
			counts[r.Version()]++
		}
	}
	return counts
}

// Guards against retries, hedges and parts of gathered requests that go beyond the share: the old
// servers refuse, lose and delay part of their responses, and the target is the nearest.
func TestShareHoldsForAllAttempts(t *testing.T) {
	s, _ := newVersionSim(t, 1, 3, func(*terms.Terms) {})
	for id, srv := range s.servers {
		if id[len(id)-1] != 'a' {
			srv.refusalRate, srv.lossRate = 0.1, 0.1
			srv.pauseLength, srv.pausePeriod = 120*time.Millisecond, 3*time.Second
		}
	}
	s.runLoad(100, 10*time.Second)
	for _, service := range []string{"shard-0", "shard-1", "shard-2"} {
		counts := s.attemptsByVersion(service)
		total := counts["v1"] + counts["v2"]
		if most := 0.06*float64(total) + 1; float64(counts["v2"]) > most {
			t.Errorf("%s: attempts at the target: got %d of %d, want at most %.0f", service, counts["v2"], total, most)
		}
		if counts["v2"] < total/25 {
			t.Errorf("%s: attempts at the target: got %d of %d, want about 6 %%", service, counts["v2"], total)
		}
	}
}

// Guards against a node that goes on sending to the target when its lease has expired and
// control publishes nothing.
func TestLeaseEndsWithoutNewView(t *testing.T) {
	const until = 4 * time.Second
	s, _ := newVersionSim(t, 2, 2, func(t *terms.Terms) { t.SetTargetUntil(until) })
	s.runUntil(2 * time.Second)
	s.runLoad(100, time.Second)
	before := s.attemptsByVersion("shard-0")["v2"]
	s.runUntil(until)
	s.runLoad(100, 3*time.Second)
	if after := s.attemptsByVersion("shard-0")["v2"]; before == 0 || after != before {
		t.Errorf("attempts at the target: got %d before and %d after the end of the lease, want some and none", before, after-before)
	}
}

// Guards against a bad version that a node goes on using until its next report.
func TestNodeStopsAtBadLimit(t *testing.T) {
	s, counts := newVersionSim(t, 3, 1, func(t *terms.Terms) { t.SetBadLimit(2) })
	s.servers["shard-0a"].failRate = 1
	s.runLoad(200, 5*time.Second)
	if got := counts.TargetBad("shard-0"); got < 2 || got > 4 {
		t.Errorf("bad responses of the target: got %d, want 2 and those in flight", got)
	}
}

// Guards against old servers that are used in the shift, also when all servers of the target are
// gone: such requests are refused.
func TestShiftUsesTargetOnly(t *testing.T) {
	shift := func(t *terms.Terms) {
		t.SetShare(1)
		t.SetShift(true)
	}
	s, counts := newVersionSim(t, 4, 1, shift)
	s.runLoad(100, 3*time.Second)
	if got := s.attemptsByVersion("shard-0"); got["v1"] > 0 || got["v2"] == 0 {
		t.Errorf("attempts: got %v, want the target only", got)
	}
	if read := counts.Read("shard-0", 5); !read.Switched() {
		t.Errorf("got %+v, want switched", read)
	}
	s.servers["shard-0a"].unreachable = true
	before := len(s.completed)
	s.runLoad(20, time.Second)
	if got := s.attemptsByVersion("shard-0"); got["v1"] > 0 {
		t.Errorf("attempts at old servers: got %d, want none", got["v1"])
	}
	for _, q := range s.completed[before:] {
		if got, want := q.response.Outcome(), lagoon.RequestRefused; got != want {
			t.Fatalf("outcome without servers of the target: got %s, want %s", got, want)
		}
	}
}

// Guards against responses that are counted for the wrong version or judged wrongly.
func TestResponsesAreCountedByVersion(t *testing.T) {
	for name, set := range map[string]func(*server){
		"failures":  func(srv *server) { srv.failRate = 1 },
		"losses":    func(srv *server) { srv.lossRate = 1 },
		"slow":      func(srv *server) { srv.slowdown = 6 },
		"as before": func(*server) {},
	} {
		t.Run(name, func(t *testing.T) {
			s, counts := newVersionSim(t, 5, 1, func(*terms.Terms) {})
			set(s.servers["shard-0a"])
			s.runLoad(100, 10*time.Second)
			routes := counts.Read("shard-0", 5).Routes()
			if len(routes) != 1 || routes[0].Route() != "look" {
				t.Fatalf("routes: got %+v, want look", routes)
			}
			c := routes[0]
			if c.OldBad() > c.Old()/20 {
				t.Errorf("bad responses of the old version: got %d of %d, want few", c.OldBad(), c.Old())
			}
			if bad, want := c.TargetBad() > c.Target()*8/10, name != "as before"; bad != want || c.Target() < 30 {
				t.Errorf("bad responses of the target: got %d of %d, want bad %t", c.TargetBad(), c.Target(), want)
			}
		})
	}
}

// Guards against memory that is kept for each service that ever had a roll-out.
func TestEndedOrderLeavesNothing(t *testing.T) {
	s, _ := newVersionSim(t, 6, 2, func(*terms.Terms) {})
	s.runLoad(100, time.Second)
	if s.loop.Splits().Len() != 2 || s.loop.Usual().Len() != 2 {
		t.Fatalf("rows in the roll-out: got %d and %d, want 2 and 2", s.loop.Splits().Len(), s.loop.Usual().Len())
	}
	v := *s.publishedView.Load()
	v.SetVersionTerms(nil)
	s.publishedView.Store(&v)
	s.runLoad(100, time.Second)
	if s.loop.Splits().Len()+s.loop.Usual().Len() > 0 {
		t.Errorf("rows after the roll-out: got %d and %d, want none", s.loop.Splits().Len(), s.loop.Usual().Len())
	}
}

// BenchmarkSides measures what a roll-out adds to the choice of a server.
func BenchmarkSides(b *testing.B) {
	s, _ := newVersionSim(b, 1, 1, func(*terms.Terms) {})
	s.submit()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = versn.Sides(s.loop, "shard-0", s.now)
	}
}

// BenchmarkGatherInRollout measures the cost of routing one request to ten shards with roll-outs
// of all; compare BenchmarkGather.
func BenchmarkGatherInRollout(b *testing.B) {
	s, _ := newVersionSim(b, 1, 10, func(*terms.Terms) {})
	b.ReportAllocs()
	for b.Loop() {
		s.submit()
		s.runUntil(s.now + 100*time.Millisecond)
	}
}
