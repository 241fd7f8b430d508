package sys_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/sight"
	"github.com/lagoontrail/lagoon/pkg/prefer"
)

const objective = 150 * time.Millisecond

func single(idempotent bool) lagoon.Route {
	var target lagoon.Target
	target.SetService("shard-0")
	target.SetWeight(1)
	var r lagoon.Route
	r.SetName("lookup")
	r.SetPrefix("/")
	r.SetIdempotent(idempotent)
	r.SetTimeout(6 * time.Second)
	r.SetObjective(600 * time.Millisecond)
	r.SetAttempts(2)
	r.SetTargets([]lagoon.Target{target})
	return r
}

// A request that is not idempotent is sent again only after a verdict that says
// that it did not run.
func TestNotIdempotentIsSentAgainOnlyWhenItDidNotRun(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(*server)
		want    lagoon.End
		wantRan int
	}{
		{"no fault", func(*server) {}, lagoon.EndServed, 1},
		{"answers lost", func(s *server) { s.loses = true }, lagoon.EndLost, 1},
		{"not reached", func(s *server) { s.refuses = true }, lagoon.EndRefused, 0},
		{"silent", func(s *server) { s.dead = true }, lagoon.EndExpired, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(t, 1)
			s.shards(1, 20*time.Millisecond)
			for _, srv := range s.servers {
				c.fault(srv)
			}
			s.publish(single(false))
			q := s.ask()
			s.until(s.now + 10*time.Second)
			ran := 0
			for _, srv := range s.servers {
				ran += srv.ran
			}
			if got := q.ruling.End(); got != c.want {
				t.Errorf("end: got %s, want %s", got, c.want)
			}
			if ran != c.wantRan {
				t.Errorf("runs: got %d, want %d", ran, c.wantRan)
			}
		})
	}
}

// A request whose answer was lost goes to a second server when it is
// idempotent, and to no more than its route allows.
func TestIdempotentIsSentAgainWithinItsAttempts(t *testing.T) {
	s := newSim(t, 1)
	s.shards(1, 20*time.Millisecond)
	for _, srv := range s.servers {
		srv.loses = true
	}
	s.publish(single(true))
	q := s.ask()
	s.until(s.now + 10*time.Second)
	if got, want := len(s.sent), 2; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
	if got, want := q.ruling.End(), lagoon.EndLost; got != want {
		t.Errorf("end: got %s, want %s", got, want)
	}
}

// When all servers of one shard cannot be reached, answers are given at once
// without it.
func TestAllServersOfAShardDown(t *testing.T) {
	s := newSim(t, 1)
	s.publish(look(s.shards(10, 20*time.Millisecond)))
	for _, zone := range []string{"a", "b", "c"} {
		s.servers["shard-3"+zone].refuses = true
	}
	s.load(20, 4*time.Second)
	inTime, _ := s.within(objective - 50*time.Millisecond)
	if want := 0.95; inTime < want {
		t.Errorf("answered 50 ms before the objective: got %.3f, want at least %.3f", inTime, want)
	}
}

// When too many shards are down for the smallest coverage, requests are refused
// at once and truly did not run; they do not wait for their deadline.
func TestTooFewShardsIsRefusedAtOnce(t *testing.T) {
	s := newSim(t, 1)
	names := s.shards(10, 20*time.Millisecond)
	for _, name := range names[:2] {
		for _, zone := range []string{"a", "b", "c"} {
			delete(s.servers, name+zone)
		}
	}
	s.publish(look(names))
	q := s.ask()
	if got, want := q.ruling.End(), lagoon.EndRefused; got != want {
		t.Errorf("end: got %s, want %s", got, want)
	}
	if got := q.ruling.RetryAfter(); got <= 0 {
		t.Errorf("retry after: got %s, want more than 0", got)
	}
	if got, want := len(s.sent), 0; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}

// Servers that pause for a moment, each at its own time, are hedged around.
func TestPausesAreHedged(t *testing.T) {
	s := newSim(t, 1)
	s.publish(look(s.shards(10, 20*time.Millisecond)))
	for _, srv := range s.servers {
		srv.pause, srv.every, srv.phase = 200*time.Millisecond, 4500*time.Millisecond, time.Duration(s.rng.Int64N(int64(4500*time.Millisecond)))
	}
	s.load(30, 20*time.Second)
	inTime, whole := s.within(objective)
	if want := 0.98; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if want := 0.95; whole < want {
		t.Errorf("with all shards: got %.3f, want at least %.3f", whole, want)
	}
	requests := len(s.ended)
	if extra, most := len(s.sent)-10*requests, int(0.2*10*float64(requests))+10*100; extra > most {
		t.Errorf("extra attempts: got %d, want at most %d", extra, most)
	}
}

// Servers that turn slow get little, and answers stay whole and in time.
func TestSlowServersAreAvoided(t *testing.T) {
	s := newSim(t, 1)
	s.publish(look(s.shards(10, 20*time.Millisecond)))
	s.load(30, 3*time.Second)
	for i, name := range []string{"shard-0a", "shard-3b", "shard-5a", "shard-7c", "shard-9a"} {
		s.servers[name].factor = 8 + float64(i)
	}
	s.ended = nil
	s.load(30, 10*time.Second)
	inTime, whole := s.within(objective)
	if want := 0.98; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if want := 0.97; whole < want {
		t.Errorf("with all shards: got %.3f, want at least %.3f", whole, want)
	}
}

// A caller that goes away has its attempts withdrawn at once.
func TestCallerGoneWithdrawsAttempts(t *testing.T) {
	s := newSim(t, 1)
	s.publish(look(s.shards(3, time.Second)))
	s.ask()
	for reply := range s.replies {
		s.goneNow(reply)
	}
	s.until(s.now + 5*time.Millisecond)
	if got, want := s.flow.Sends().Len(), 0; got != want {
		t.Errorf("attempts under way 5 ms later: got %d, want %d", got, want)
	}
	if got, want := s.flow.Calls().Len(), 0; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
}

// Nothing is left in the tables once all requests have ended.
func TestTablesEmptyAfterALoad(t *testing.T) {
	s := newSim(t, 2)
	s.publish(look(s.shards(10, 20*time.Millisecond)))
	s.servers["shard-1a"].dead = true
	s.servers["shard-2b"].loses = true
	s.load(50, 5*time.Second)
	for name, got := range map[string]int{"calls": s.flow.Calls().Len(), "shards": s.flow.Shards().Len(), "sends": s.flow.Sends().Len()} {
		if got != 0 {
			t.Errorf("rows of %s: got %d, want 0", name, got)
		}
	}
	for i := range s.flow.Hosts().Len() {
		if got := s.flow.Hosts().At(i).Inflight(); got != 0 {
			t.Errorf("attempts at %s: got %d, want 0", s.flow.Hosts().Key(i), got)
		}
	}
}

// noFaults is the policy without what it knows of lost answers and silence.
type noFaults struct{ prefer.Policy }

func (p noFaults) Cost(v lagoon.ReplicaView) float64 {
	v.SetFaulty(0)
	v.SetSilence(0)
	return p.Policy.Cost(v)
}

// lossy replays a load under which half of the servers lose two fifths of their
// answers, and returns the shares in time and whole.
func lossy(t *testing.T, policy lagoon.ReplicaPolicy) (inTime, whole float64) {
	s := newSim(t, 5)
	s.flow.SetReplicas(policy)
	names := s.shards(10, 20*time.Millisecond)
	s.publish(look(names))
	s.load(20, 2*time.Second)
	s.ended = nil
	for i, name := range names {
		s.servers[name+"a"].lossShare = 0.4
		if i%2 == 0 {
			s.servers[name+"b"].lossShare = 0.4
		}
	}
	s.load(20, 8*time.Second)
	return s.within(objective)
}

// Servers that lose part of their answers are avoided, which covers more shards
// in time than judging servers by their speed alone.
func TestServersThatLoseAnswersAreAvoided(t *testing.T) {
	inTime, whole := lossy(t, prefer.Policy{})
	_, before := lossy(t, noFaults{})
	if want := 0.97; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if whole <= before {
		t.Errorf("with all shards: got %.3f, want more than %.3f without the policy", whole, before)
	}
	t.Logf("with all shards: %.3f, without the policy %.3f", whole, before)
}

// A request that reaches a node a moment before it knows the declarations is
// served; one that is too early is refused and truly did not run.
func TestRequestWaitsForDeclarationsAtTheStart(t *testing.T) {
	s := newSim(t, 1)
	route := look(s.shards(3, 20*time.Millisecond))
	s.current.Store(&sight.View{})
	soon := s.ask()
	s.until(s.now + 40*time.Millisecond)
	s.publish(route)
	s.until(s.now + 100*time.Millisecond)
	if got, want := soon.ruling.End(), lagoon.EndGathered; got != want {
		t.Errorf("end: got %s, want %s", got, want)
	}
	s.current.Store(&sight.View{})
	early := s.ask()
	s.until(s.now + 200*time.Millisecond)
	if got, want := early.ruling.End(), lagoon.EndRefused; got != want {
		t.Errorf("end: got %s, want %s", got, want)
	}
	if early.ruling.RetryAfter() <= 0 {
		t.Error("retry after: got 0, want a time")
	}
}

// shedding replays a load under which two servers of each shard refuse three
// fifths of their requests, and returns the shares in time and whole.
func shedding(t *testing.T, policy lagoon.ReplicaPolicy) (inTime, whole float64) {
	s := newSim(t, 6)
	s.flow.SetReplicas(policy)
	names := s.shards(36, 20*time.Millisecond)
	route := look(names)
	route.SetMinCoverage(0.95)
	s.publish(route)
	s.load(15, 2*time.Second)
	s.ended = nil
	for _, name := range names {
		s.servers[name+"a"].shedShare = 0.6
		s.servers[name+"b"].shedShare = 0.6
	}
	s.load(15, 8*time.Second)
	return s.within(objective)
}

// Servers that refuse part of their requests while they say that they are well
// are avoided: a refusal uses up one of the few attempts.
func TestServersThatRefuseAreAvoided(t *testing.T) {
	inTime, whole := shedding(t, prefer.Policy{})
	before, _ := shedding(t, noFaults{})
	if want := 0.9; inTime < want {
		t.Errorf("within the objective: got %.3f, want at least %.3f", inTime, want)
	}
	if inTime <= before {
		t.Errorf("within the objective: got %.3f, want more than %.3f without the policy", inTime, before)
	}
	t.Logf("within the objective: %.3f, without the policy %.3f; with all shards %.3f", inTime, before, whole)
}

// A request that surely misses too many shards is refused before any part of it
// is sent.
func TestNothingIsSentOfWhatCannotBeServed(t *testing.T) {
	s := newSim(t, 1)
	names := s.shards(10, 20*time.Millisecond)
	for _, name := range names[:2] {
		for _, zone := range []string{"a", "b", "c"} {
			s.servers[name+zone].refuses = true
		}
	}
	s.publish(look(names))
	for range 40 {
		s.ask()
		s.until(s.now + 20*time.Millisecond)
	}
	sent := map[string]bool{}
	for _, a := range s.sent {
		sent[a.ID()] = true
	}
	refused := 0
	for _, q := range s.ended {
		if q.ruling.End() != lagoon.EndRefused {
			continue
		}
		refused++
		if sent[q.id] {
			t.Errorf("%s: got attempts for a request that was refused, want none", q.id)
		}
	}
	// A rest lasts half a second at first, and what is tried after it is lost.
	if want := 30; refused < want {
		t.Errorf("refused: got %d of 40, want at least %d", refused, want)
	}
}

// A caller may go away while its request waits for the declarations.
func TestCallerGoneBeforeDeclarations(t *testing.T) {
	s := newSim(t, 1)
	s.current.Store(&sight.View{})
	s.ask()
	for reply := range s.replies {
		s.goneNow(reply)
	}
	s.until(s.now + time.Second)
	if got, want := s.flow.Calls().Len(), 0; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
}

// Servers that come and go leave nothing behind.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	s := newSim(t, 1)
	s.publish(look(s.shards(3, 10*time.Millisecond)))
	for i := range 500 {
		s.flow.Hosts().Ensure(fmt.Sprint("gone-", i))
	}
	s.load(10, time.Second)
	if got, most := s.flow.Hosts().Len(), 9+64; got > most {
		t.Errorf("servers known: got %d, want at most %d", got, most)
	}
}
