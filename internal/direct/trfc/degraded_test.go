package trfc_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/retry"
	"github.com/lagoontrail/lagoon/pkg/score"
)

// untriedOnly is a policy that retries a refused request only at servers that
// have not been tried yet.
type untriedOnly struct{ retry.Policy }

func (p untriedOnly) Retry(v lagoon.RetryView) (time.Duration, bool) {
	wait, ok := p.Policy.Retry(v)
	return wait, ok && v.UntriedLeft()
}

// runWithShardRefusals runs a load while all servers of a third of the shards
// refuse 40 % of their requests. That takes 8 extra attempts a second at each of
// these shards; the retry budget allows 10.5. It returns the share of requests
// responded to within the objective.
func runWithShardRefusals(t *testing.T, policy lagoon.RetryPolicy, seed uint64) (inTime float64, s *sim) {
	s = newSim(t, seed)
	s.loop.SetRetryPolicy(policy)
	names := s.addShards(36, 20*time.Millisecond)
	route := gatherRoute(names)
	route.SetMinCoverage(0.95)
	s.publish(route)
	s.runLoad(12, 2*time.Second)
	s.completed, s.attempts = nil, nil
	for i, name := range names {
		for _, zone := range []string{"a", "b", "c"} {
			if i%3 == 0 {
				s.servers[name+zone].refusalRate = 0.4
			}
		}
	}
	s.runLoad(12, 8*time.Second)
	inTime, _ = s.shareWithin(objective)
	return inTime, s
}

// When every server of a shard refuses some requests, a refused request is retried
// while time is left, also at a server that refused it before.
func TestRefusedRequestsAreRetried(t *testing.T) {
	const seeds = 5
	inTime, baseline := 0.0, 0.0
	for seed := range uint64(seeds) {
		retried, s := runWithShardRefusals(t, retry.Policy{}, seed)
		once, _ := runWithShardRefusals(t, untriedOnly{}, seed)
		inTime += retried / seeds
		baseline += once / seeds
		checkBounds(t, s)
	}
	if want := 0.95; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if inTime <= baseline {
		t.Errorf("within the objective: got %.3f, want more than %.3f with one try per server", inTime, baseline)
	}
	t.Logf("within the objective: %.3f, with one try per server %.3f", inTime, baseline)
}

// checkBounds checks that no request went to more than two servers of a shard, and
// that the extra attempts at 36 shards stay within the bound of one window.
func checkBounds(t *testing.T, s *sim) {
	t.Helper()
	tried := map[string]map[string]bool{}
	for _, a := range s.attempts {
		r := a.Replica()
		key := a.ID() + " " + r.Service()
		if tried[key] == nil {
			tried[key] = map[string]bool{}
		}
		tried[key][r.ID()] = true
	}
	for key, servers := range tried {
		if got, limit := len(servers), 2; got > limit {
			t.Errorf("servers tried for %s: got %d, want at most %d", key, got, limit)
		}
	}
	requests := len(s.completed)
	if extra, limit := len(s.attempts)-36*requests, int(0.2*36*float64(requests))+36*100; extra > limit {
		t.Errorf("extra attempts: got %d, want at most %d", extra, limit)
	}
}

// A hedge that is refused is retried. One server of each shard accepts all
// requests and pauses from time to time; the other two refuse 60 % of theirs.
func TestRefusedHedgesAreRetried(t *testing.T) {
	s := newSim(t, 12)
	names := s.addShards(36, 15*time.Millisecond)
	route := gatherRoute(names)
	route.SetMinCoverage(0.95)
	s.publish(route)
	for _, name := range names {
		s.servers[name+"a"].refusalRate = 0.6
		s.servers[name+"b"].refusalRate = 0.6
		c := s.servers[name+"c"]
		c.pauseLength, c.pausePeriod, c.pausePhase = 150*time.Millisecond, 3600*time.Millisecond, time.Duration(s.rng.Int64N(int64(3600*time.Millisecond)))
	}
	s.runLoad(15, 2*time.Second)
	s.completed = nil
	s.runLoad(15, 8*time.Second)
	inTime, complete := s.shareWithin(objective)
	if want := 0.95; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if want := 0.8; complete < want {
		t.Errorf("with all shards: got %.3f, want at least %.3f", complete, want)
	}
	t.Logf("within the objective: %.3f, with all shards %.3f", inTime, complete)
}

// A request that is not idempotent is retried after a refusal and still runs at
// most once.
func TestRefusedNonIdempotentRequestRunsOnce(t *testing.T) {
	s := newSim(t, 9)
	names := s.addShards(1, 20*time.Millisecond)
	for _, zone := range []string{"a", "b", "c"} {
		s.servers[names[0]+zone].refusalRate = 0.3
	}
	s.publish(singleRoute(false))
	s.runLoad(10, 4*time.Second)
	served, ran := 0, 0
	for _, q := range s.completed {
		if q.response.Outcome() == lagoon.RequestServed {
			served++
		}
	}
	for _, srv := range s.servers {
		ran += srv.runs
	}
	if got, want := served, len(s.completed)*9/10; got < want {
		t.Errorf("served: got %d of %d, want at least %d", got, len(s.completed), want)
	}
	if ran != served {
		t.Errorf("runs: got %d, want %d, one for each request that was served", ran, served)
	}
}

// When all servers of two shards lose half of their responses and are in backoff,
// they are still tried, since the other half keeps the responses to callers
// above the minimum coverage.
func TestBackedOffServersAreTriedAsLastResort(t *testing.T) {
	s := newSim(t, 10)
	names := s.addShards(10, 20*time.Millisecond)
	s.publish(gatherRoute(names))
	s.runLoad(10, 2*time.Second)
	s.completed = nil
	for _, name := range names[:2] {
		for _, zone := range []string{"a", "b", "c"} {
			s.servers[name+zone].lossRate = 0.5
		}
	}
	s.runLoad(10, 8*time.Second)
	// Two attempts lose both responses in a quarter of the cases, and a response
	// needs one of the two shards.
	inTime, _ := s.shareWithin(objective)
	if want := 0.85; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
}

// When slots are short, requests that can still meet their objective go before
// those that are late.
func TestLateRequestsAreSentLast(t *testing.T) {
	s := newSim(t, 11)
	names := s.addShards(1, 100*time.Millisecond)
	route := singleRoute(true)
	route.SetObjective(300 * time.Millisecond)
	route.SetMaxAttempts(1)
	s.publish(route)
	view := *s.publishedView.Load()
	pools := map[string]lagoon.Pool{}
	var p lagoon.Pool
	p.SetMaxConns(3) // allows two concurrent attempts at each server
	pools[names[0]] = p
	view.SetPools(pools)
	s.publishedView.Store(&view)
	s.runLoad(120, 3*time.Second) // twice the capacity of the servers
	inTime := 0
	for _, q := range s.completed {
		if q.response.Outcome() == lagoon.RequestServed && q.elapsed <= 300*time.Millisecond {
			inTime++
		}
	}
	// Six concurrent attempts of 0.1 s each are 60 a second, for 3 s.
	if got, want := inTime, 60*3*8/10; got < want {
		t.Errorf("within the objective: got %d of %d, want at least %d", got, len(s.completed), want)
	}
}

// A caller that has spent part of the objective on connection setup or on a refused
// attempt gets its partial response earlier by that time.
func TestTimeSpentBeforeTheRequestCounts(t *testing.T) {
	s := newSim(t, 13)
	names := s.addShards(10, 20*time.Millisecond)
	s.publish(gatherRoute(names))
	for _, zone := range []string{"a", "b", "c"} {
		s.servers[names[0]+zone].silent = true
	}
	const total = 1500 * time.Millisecond
	s.submitWithTimeout(total)
	s.runUntil(s.now + 2*time.Second)
	for _, spent := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond} {
		q := s.submitWithTimeout(total - spent)
		s.runUntil(s.now + 2*time.Second)
		if got, want := q.response.Outcome(), lagoon.RequestGathered; got != want {
			t.Fatalf("%s spent: got %s, want %s", spent, got, want)
		}
		if got, limit := q.elapsed+spent, objective; got >= limit {
			t.Errorf("%s spent: responded %s after the caller started, want less than %s", spent, got, limit)
		}
		if got, minimum := q.elapsed+spent, objective-20*time.Millisecond; got < minimum {
			t.Errorf("%s spent: responded %s after the caller started, want at least %s for the missing shard", spent, got, minimum)
		}
	}
}

// neverLate is a policy that expects every server to respond in time.
type neverLate struct{ score.Policy }

func (neverLate) Delay(lagoon.ReplicaView) float64 { return 0 }

// runShortOfServers runs a load while two shards have one healthy server each,
// with capacity for 90 % of the requests, and two servers that are 12 times slower.
// It returns the results of shareWithin.
func runShortOfServers(t *testing.T, policy lagoon.ReplicaPolicy, seed uint64) (inTime, complete float64) {
	s := newSim(t, seed)
	s.loop.SetReplicaPolicy(policy)
	names := s.addShards(10, 16*time.Millisecond)
	route := gatherRoute(names)
	route.SetObjective(120 * time.Millisecond)
	route.SetTimeout(1200 * time.Millisecond)
	s.publish(route)
	s.runLoad(100, time.Second)
	for _, name := range names[:2] {
		s.servers[name+"b"].slowdown, s.servers[name+"c"].slowdown = 12, 12
	}
	s.runLoad(280, 2*time.Second)
	s.completed = nil
	s.runLoad(280, 4*time.Second)
	return s.shareWithin(120 * time.Millisecond)
}

// When two shards lack capacity, requests that a busy server could not respond to
// in time are not sent there, so that the requests queued behind them are answered
// and most responses cover at least one of the two shards in time.
func TestOverloadedServersGetOnlyTimelyRequests(t *testing.T) {
	const seeds = 5
	inTime, complete, baseline, completeBaseline := 0.0, 0.0, 0.0, 0.0
	for seed := range uint64(seeds) {
		x, y := runShortOfServers(t, score.Policy{}, 20+seed)
		inTime, complete = inTime+x/seeds, complete+y/seeds
		x, y = runShortOfServers(t, neverLate{}, 20+seed)
		baseline, completeBaseline = baseline+x/seeds, completeBaseline+y/seeds
	}
	t.Logf("within the objective: %.3f, with all shards %.3f; when nothing is dropped: %.3f, with all shards %.3f", inTime, complete, baseline, completeBaseline)
	if want := 0.9; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if inTime <= baseline {
		t.Errorf("within the objective: got %.3f, want more than the %.3f when nothing is dropped", inTime, baseline)
	}
	if complete <= completeBaseline {
		t.Errorf("with all shards: got %.3f, want more than the %.3f when nothing is dropped", complete, completeBaseline)
	}
}

// A cold server gets at most the declared rate of requests from all nodes
// together, whatever the load.
func TestColdServerRateIsLimited(t *testing.T) {
	const rate = 10.0
	for _, nodes := range []float64{1, 4} {
		s := newSim(t, 31)
		names := s.addShards(1, 5*time.Millisecond)
		s.publish(singleRoute(true))
		view := *s.publishedView.Load()
		var p lagoon.Pool
		p.SetMaxConns(200)
		p.SetColdPerSecond(rate)
		view.SetPools(map[string]lagoon.Pool{names[0]: p})
		view.SetShareDivisor(nodes)
		cold := map[string]time.Duration{}
		for id := range s.servers {
			cold[id] = s.now + 10*time.Second
		}
		view.SetColdUntil(cold)
		s.publishedView.Store(&view)
		s.runLoad(300, 2*time.Second)
		counts := map[string]int{}
		for _, a := range s.attempts {
			r := a.Replica()
			counts[r.ID()]++
		}
		// The rate over the load and the 2 s after it, plus the first request.
		for id, got := range counts {
			if limit := int(rate/nodes*4) + 1; got > limit {
				t.Errorf("%s, one of %.0f nodes: attempts in 4 s: got %d, want at most %d", id, nodes, got, limit)
			}
		}
	}
}

// When there are more nodes than a server accepts connections, a node closes each
// connection after use.
func TestConnectionsAreClosedWhenNodesOutnumberThem(t *testing.T) {
	for nodes, want := range map[float64]bool{10: false, 100: true} {
		s := newSim(t, 32)
		s.publish(gatherRoute(s.addShards(2, 5*time.Millisecond)))
		view := *s.publishedView.Load()
		view.SetShareDivisor(nodes)
		s.publishedView.Store(&view)
		s.submit()
		for _, a := range s.attempts {
			if got := a.CloseConn(); got != want {
				t.Errorf("one of %.0f nodes for 76 connections: closed after use: got %t, want %t", nodes, got, want)
			}
		}
	}
}
