package trfc_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/pkg/score"
)

const objective = 150 * time.Millisecond

func singleRoute(idempotent bool) lagoon.Route {
	var target lagoon.Target
	target.SetService("shard-0")
	target.SetWeight(1)
	var r lagoon.Route
	r.SetName("lookup")
	r.SetPrefix("/")
	r.SetIdempotent(idempotent)
	r.SetTimeout(6 * time.Second)
	r.SetObjective(600 * time.Millisecond)
	r.SetMaxAttempts(2)
	r.SetTargets([]lagoon.Target{target})
	return r
}

// A request that is not idempotent must be retried only after a result that says
// that it did not run.
func TestNonIdempotentIsRetriedOnlyWhenItDidNotRun(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(*server)
		want    lagoon.RequestOutcome
		wantRan int
	}{
		{"no fault", func(*server) {}, lagoon.RequestServed, 1},
		{"responses lost", func(s *server) { s.dropsReplies = true }, lagoon.RequestLost, 1},
		{"not reached", func(s *server) { s.unreachable = true }, lagoon.RequestRefused, 0},
		{"silent", func(s *server) { s.silent = true }, lagoon.RequestExpired, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(t, 1)
			s.addShards(1, 20*time.Millisecond)
			for _, srv := range s.servers {
				c.fault(srv)
			}
			s.publish(singleRoute(false))
			q := s.submit()
			s.runUntil(s.now + 10*time.Second)
			ran := 0
			for _, srv := range s.servers {
				ran += srv.runs
			}
			if got := q.response.Outcome(); got != c.want {
				t.Errorf("outcome: got %s, want %s", got, c.want)
			}
			if ran != c.wantRan {
				t.Errorf("runs: got %d, want %d", ran, c.wantRan)
			}
		})
	}
}

// An idempotent request whose responses are always lost goes to a second server, to no
// more servers than its route allows, and to these a limited number of times.
func TestIdempotentIsRetriedWithinItsAttempts(t *testing.T) {
	s := newSim(t, 1)
	s.addShards(1, 20*time.Millisecond)
	for _, srv := range s.servers {
		srv.dropsReplies = true
	}
	s.publish(singleRoute(true))
	q := s.submit()
	s.runUntil(s.now + 10*time.Second)
	servers := map[string]bool{}
	for _, a := range s.attempts {
		replica := a.Replica()
		servers[replica.ID()] = true
	}
	if got, want := len(servers), 2; got != want {
		t.Errorf("servers: got %d, want %d", got, want)
	}
	if got, want := len(s.attempts), 4; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
	if got, want := q.response.Outcome(), lagoon.RequestLost; got != want {
		t.Errorf("outcome: got %s, want %s", got, want)
	}
}

// When all servers of a shard are unreachable, requests are answered without it
// and do not wait for the objective.
func TestAllServersOfAShardDown(t *testing.T) {
	s := newSim(t, 1)
	s.publish(gatherRoute(s.addShards(10, 20*time.Millisecond)))
	for _, zone := range []string{"a", "b", "c"} {
		s.servers["shard-3"+zone].unreachable = true
	}
	s.runLoad(20, 4*time.Second)
	inTime, _ := s.shareWithin(objective - 50*time.Millisecond)
	if want := 0.95; inTime < want {
		t.Errorf("answered 50 ms before the objective: got %.3f, want at least %.3f", inTime, want)
	}
}

// When too few shards have a server for the minimum coverage, a request is
// refused immediately, with nothing sent, and does not wait for its deadline.
func TestTooFewShardsIsRefusedImmediately(t *testing.T) {
	s := newSim(t, 1)
	names := s.addShards(10, 20*time.Millisecond)
	for _, name := range names[:2] {
		for _, zone := range []string{"a", "b", "c"} {
			delete(s.servers, name+zone)
		}
	}
	s.publish(gatherRoute(names))
	q := s.submit()
	if got, want := q.response.Outcome(), lagoon.RequestRefused; got != want {
		t.Errorf("outcome: got %s, want %s", got, want)
	}
	if got := q.response.RetryAfter(); got <= 0 {
		t.Errorf("retry after: got %s, want more than 0", got)
	}
	if got, want := len(s.attempts), 0; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}

// Hedging keeps requests within the objective while servers pause briefly, each at
// a different time.
func TestPausesAreHedged(t *testing.T) {
	s := newSim(t, 1)
	s.publish(gatherRoute(s.addShards(10, 20*time.Millisecond)))
	for _, srv := range s.servers {
		srv.pauseLength, srv.pausePeriod, srv.pausePhase = 200*time.Millisecond, 4500*time.Millisecond, time.Duration(s.rng.Int64N(int64(4500*time.Millisecond)))
	}
	s.runLoad(30, 20*time.Second)
	inTime, complete := s.shareWithin(objective)
	if want := 0.98; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if want := 0.95; complete < want {
		t.Errorf("with all shards: got %.3f, want at least %.3f", complete, want)
	}
	requests := len(s.completed)
	if extra, limit := len(s.attempts)-10*requests, int(0.2*10*float64(requests))+10*100; extra > limit {
		t.Errorf("extra attempts: got %d, want at most %d", extra, limit)
	}
}

// Servers that become slow get few requests, so that responses stay complete and
// within the objective.
func TestSlowServersAreAvoided(t *testing.T) {
	s := newSim(t, 1)
	s.publish(gatherRoute(s.addShards(10, 20*time.Millisecond)))
	s.runLoad(30, 3*time.Second)
	for i, name := range []string{"shard-0a", "shard-3b", "shard-5a", "shard-7c", "shard-9a"} {
		s.servers[name].slowdown = 8 + float64(i)
	}
	s.completed = nil
	s.runLoad(30, 10*time.Second)
	inTime, complete := s.shareWithin(objective)
	if want := 0.98; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if want := 0.97; complete < want {
		t.Errorf("with all shards: got %.3f, want at least %.3f", complete, want)
	}
}

// When a caller disconnects, its attempts are cancelled immediately.
func TestDisconnectCancelsAttempts(t *testing.T) {
	s := newSim(t, 1)
	s.publish(gatherRoute(s.addShards(3, time.Second)))
	s.submit()
	for reply := range s.pending {
		s.disconnect(reply)
	}
	s.runUntil(s.now + 5*time.Millisecond)
	if got, want := s.loop.Attempts().Len(), 0; got != want {
		t.Errorf("attempts in flight 5 ms later: got %d, want %d", got, want)
	}
	if got, want := s.loop.Requests().Len(), 0; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
}

// The tables are empty once all requests have ended; rows must not leak.
func TestTablesEmptyAfterALoad(t *testing.T) {
	s := newSim(t, 2)
	s.publish(gatherRoute(s.addShards(10, 20*time.Millisecond)))
	s.servers["shard-1a"].silent = true
	s.servers["shard-2b"].dropsReplies = true
	s.runLoad(50, 5*time.Second)
	for name, got := range map[string]int{"requests": s.loop.Requests().Len(), "shards": s.loop.Shards().Len(), "attempts": s.loop.Attempts().Len()} {
		if got != 0 {
			t.Errorf("rows of %s: got %d, want 0", name, got)
		}
	}
	for i := range s.loop.Health().Len() {
		if got := s.loop.Health().At(i).Inflight(); got != 0 {
			t.Errorf("attempts at %s: got %d, want 0", s.loop.Health().Key(i), got)
		}
	}
}

// ignoreFaults is the replica policy without the inputs on failures and silence.
type ignoreFaults struct{ score.Policy }

func (p ignoreFaults) Cost(v lagoon.ReplicaView) float64 {
	v.SetFailureRate(0)
	v.SetSilence(0)
	return p.Policy.Cost(v)
}

// runWithLosses runs a load while one or two of the three servers of each shard
// lose 40 % of their responses, and returns the results of shareWithin.
func runWithLosses(t *testing.T, policy lagoon.ReplicaPolicy) (inTime, complete float64) {
	s := newSim(t, 5)
	s.loop.SetReplicaPolicy(policy)
	names := s.addShards(10, 20*time.Millisecond)
	s.publish(gatherRoute(names))
	s.runLoad(20, 2*time.Second)
	s.completed = nil
	for i, name := range names {
		s.servers[name+"a"].lossRate = 0.4
		if i%2 == 0 {
			s.servers[name+"b"].lossRate = 0.4
		}
	}
	s.runLoad(20, 8*time.Second)
	return s.shareWithin(objective)
}

// Servers that lose some of their responses are avoided, so that more requests get
// a complete response in time than with a policy that considers latency alone.
func TestServersThatLoseResponsesAreAvoided(t *testing.T) {
	inTime, complete := runWithLosses(t, score.Policy{})
	_, baseline := runWithLosses(t, ignoreFaults{})
	if want := 0.97; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if complete <= baseline {
		t.Errorf("with all shards: got %.3f, want more than %.3f without the policy", complete, baseline)
	}
	t.Logf("with all shards: %.3f, without the policy %.3f", complete, baseline)
}

// A request that arrives shortly before the node has loaded the catalog is
// served. One that arrives too early is refused without having run.
func TestRequestWaitsForCatalogAtTheStart(t *testing.T) {
	s := newSim(t, 1)
	route := gatherRoute(s.addShards(3, 20*time.Millisecond))
	s.publishedView.Store(&view.View{})
	soon := s.submit()
	s.runUntil(s.now + 40*time.Millisecond)
	s.publish(route)
	s.runUntil(s.now + 100*time.Millisecond)
	if got, want := soon.response.Outcome(), lagoon.RequestGathered; got != want {
		t.Errorf("outcome: got %s, want %s", got, want)
	}
	s.publishedView.Store(&view.View{})
	early := s.submit()
	s.runUntil(s.now + 200*time.Millisecond)
	if got, want := early.response.Outcome(), lagoon.RequestRefused; got != want {
		t.Errorf("outcome: got %s, want %s", got, want)
	}
	if early.response.RetryAfter() <= 0 {
		t.Error("retry after: got 0, want a time")
	}
}

// runWithRefusals runs a load while two of the three servers of each shard refuse
// 60 % of their requests, and returns the results of shareWithin.
func runWithRefusals(t *testing.T, policy lagoon.ReplicaPolicy) (inTime, complete float64) {
	s := newSim(t, 6)
	s.loop.SetReplicaPolicy(policy)
	names := s.addShards(36, 20*time.Millisecond)
	route := gatherRoute(names)
	route.SetMinCoverage(0.95)
	s.publish(route)
	s.runLoad(15, 2*time.Second)
	s.completed = nil
	for _, name := range names {
		s.servers[name+"a"].refusalRate = 0.6
		s.servers[name+"b"].refusalRate = 0.6
	}
	s.runLoad(15, 8*time.Second)
	return s.shareWithin(objective)
}

// Servers that refuse some requests while they report a low load are avoided,
// since a refusal uses up one of the few attempts of a request.
func TestServersThatRefuseAreAvoided(t *testing.T) {
	inTime, complete := runWithRefusals(t, score.Policy{})
	baseline, _ := runWithRefusals(t, ignoreFaults{})
	if want := 0.9; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if inTime <= baseline {
		t.Errorf("within the objective: got %.3f, want more than %.3f without the policy", inTime, baseline)
	}
	t.Logf("within the objective: %.3f, without the policy %.3f; with all shards %.3f", inTime, baseline, complete)
}

// A request that certainly cannot reach the minimum coverage is refused before any
// attempt is sent.
func TestUnservableRequestSendsNothing(t *testing.T) {
	s := newSim(t, 1)
	names := s.addShards(10, 20*time.Millisecond)
	for _, name := range names[:2] {
		for _, zone := range []string{"a", "b", "c"} {
			s.servers[name+zone].unreachable = true
		}
	}
	s.publish(gatherRoute(names))
	for range 40 {
		s.submit()
		s.runUntil(s.now + 20*time.Millisecond)
	}
	sent := map[string]bool{}
	for _, a := range s.attempts {
		sent[a.ID()] = true
	}
	refused := 0
	for _, q := range s.completed {
		if q.response.Outcome() != lagoon.RequestRefused {
			continue
		}
		refused++
		if sent[q.id] {
			t.Errorf("%s: got attempts for a refused request, want none", q.id)
		}
	}
	// Servers are tried again after their backoff, 250 ms at first, and those
	// requests are lost.
	if want := 30; refused < want {
		t.Errorf("refused: got %d of 40, want at least %d", refused, want)
	}
}

// A caller may disconnect while its request waits for the catalog; the
// request must not leak.
func TestDisconnectBeforeCatalog(t *testing.T) {
	s := newSim(t, 1)
	s.publishedView.Store(&view.View{})
	s.submit()
	for reply := range s.pending {
		s.disconnect(reply)
	}
	s.runUntil(s.now + time.Second)
	if got, want := s.loop.Requests().Len(), 0; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
}

// The health rows of servers that are no longer announced are removed.
func TestUnannouncedServersAreRemoved(t *testing.T) {
	s := newSim(t, 1)
	s.publish(gatherRoute(s.addShards(3, 10*time.Millisecond)))
	for i := range 500 {
		s.loop.Health().Ensure(fmt.Sprint("gone-", i))
	}
	s.runLoad(10, time.Second)
	if got, limit := s.loop.Health().Len(), 9+64; got > limit {
		t.Errorf("health rows: got %d, want at most %d", got, limit)
	}
}
