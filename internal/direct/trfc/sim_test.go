package trfc_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/pkg/cutoff"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/retry"
	"github.com/lagoontrail/lagoon/pkg/score"
)

// sim runs a load against the traffic systems of one node and modeled servers, in
// virtual time.
type sim struct {
	*clock
	t             testing.TB
	loop          *loop.Loop
	publishedView atomic.Pointer[view.View]
	rng           *rand.Rand
	servers       map[string]*server
	pending       map[chan lagoon.Response]*request
	completed     []*request
	attempts      []lagoon.Attempt
	zone          string // the node's availability zone; empty for zone a
	oracle        bool   // whether attempts go to the server that would finish them first, whatever the node chose
}

// clock is virtual time with the events that are due later. Nodes that share servers share
// a clock.
type clock struct {
	now    time.Duration
	events events
	seq    int
	sims   []*sim
	far    time.Duration // the delay between zones, one way; 0 for 1 ms to each server and none back
}

// request is one request of the load and its response.
type request struct {
	id       string
	path     string
	started  time.Duration
	elapsed  time.Duration
	response lagoon.Response
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Now returns the virtual time. It makes clock a lagoon.Clock.
func (c *clock) Now() time.Duration { return c.now }

// Wall returns a calendar time for log lines.
func (c *clock) Wall() time.Time { return time.Unix(0, 0).Add(c.now) }

func newSim(t testing.TB, seed uint64) *sim {
	return addNode(t, seed, &clock{now: time.Second}, map[string]*server{})
}

// addNode adds a node that uses servers and a clock which other nodes may use as well.
func addNode(t testing.TB, seed uint64, c *clock, servers map[string]*server) *sim {
	s := &sim{clock: c, t: t, rng: rand.New(rand.NewPCG(seed, 1)), servers: servers, pending: map[chan lagoon.Response]*request{}}
	c.sims = append(c.sims, s)
	l, stop := loop.New(mbox.New(16))
	t.Cleanup(stop)
	l.SetClock(c)
	l.SetPublishedView(&s.publishedView)
	l.SetHedgePolicy(hedge.Policy{})
	l.SetPartialPolicy(cutoff.Policy{})
	l.SetReplicaPolicy(score.Policy{})
	l.SetRetryPolicy(retry.Policy{})
	l.SetExtraRatio(0.2)
	l.SetExtraSlack(100)
	l.SetExtraWindow(10 * time.Second)
	l.SetSystems(trfc.Systems())
	l.SetStarter(s.startAttempt)
	l.SetRandom(s.rng.Float64)
	s.loop = l
	return s
}

func (c *clock) schedule(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + d, c.seq, do})
}

// addShards adds services with three servers each, in zones a, b and c, and
// returns their names.
func (s *sim) addShards(services int, meanTime time.Duration) []string {
	var names []string
	for i := range services {
		name := fmt.Sprintf("shard-%d", i)
		names = append(names, name)
		for _, zone := range []string{"a", "b", "c"} {
			var r lagoon.Replica
			r.SetID(name + zone)
			r.SetService(name)
			r.SetZone(zone)
			r.SetSlots(4)
			s.servers[r.ID()] = &server{replica: r, meanTime: meanTime, slowdown: 1, maxQueue: 24}
		}
	}
	return names
}

// publish publishes a view with the servers and one route.
func (s *sim) publish(r lagoon.Route) {
	v := &view.View{}
	serversByService := map[string][]lagoon.Replica{}
	pools := map[string]lagoon.Pool{}
	serverIDs := map[string]bool{}
	for _, name := range servicesOf(r) {
		for _, zone := range []string{"a", "b", "c"} {
			if srv, ok := s.servers[name+zone]; ok {
				serversByService[name] = append(serversByService[name], srv.replica)
				serverIDs[srv.replica.ID()] = true
			}
		}
		var p lagoon.Pool
		p.SetMaxConns(76)
		pools[name] = p
	}
	var self lagoon.Member
	self.SetZone(cmp.Or(s.zone, "a"))
	v.SetSelf(self)
	v.SetServersByService(serversByService)
	v.SetServerIDs(serverIDs)
	v.SetPools(pools)
	v.SetRoutes(map[string][]*lagoon.Route{"desk": {&r}})
	v.SetShareDivisor(1)
	v.SetSynced(true)
	v.SetRegistryReachable(true)
	s.publishedView.Store(v)
}

func servicesOf(r lagoon.Route) []string {
	out := r.Shards()
	for _, t := range r.Targets() {
		out = append(out, t.Service())
	}
	return out
}

// gatherRoute returns a route whose responses are gathered from shards.
func gatherRoute(shards []string) lagoon.Route {
	var r lagoon.Route
	r.SetName("look")
	r.SetPrefix("/")
	r.SetIdempotent(true)
	r.SetTimeout(1500 * time.Millisecond)
	r.SetObjective(150 * time.Millisecond)
	r.SetMaxAttempts(2)
	r.SetShards(shards)
	r.SetMinCoverage(0.89)
	return r
}

// submit submits a request.
func (s *sim) submit() *request { return s.submitWithTimeout(0) }

// submitWithTimeout submits a request with the timeout that its caller sends.
func (s *sim) submitWithTimeout(timeout time.Duration) *request { return s.submitTo("/x", timeout) }

// submitTo submits a request for a path.
func (s *sim) submitTo(path string, timeout time.Duration) *request {
	return s.submitPayload(path, timeout, nil)
}

// submitKind submits a request of a kind.
func (s *sim) submitKind(k kind) *request { return s.submitPayload("/"+k.name+"/", k.timeout, k) }

func (s *sim) submitPayload(path string, timeout time.Duration, payload any) *request {
	reply := make(chan lagoon.Response, 1)
	q := &request{id: fmt.Sprint("r", len(s.pending)+len(s.completed)), path: path, started: s.now}
	s.pending[reply] = q
	var a lagoon.Request
	a.SetID(q.id)
	a.SetHost("desk")
	a.SetPath(path)
	a.SetPayload(payload)
	a.SetTimeout(timeout)
	row := &reqs.Row{}
	row.SetRequest(a)
	row.SetResponseChan(reply)
	row.SetArrivedAt(s.now)
	s.tick(row)
	return q
}

func (s *sim) tick(items ...any) {
	s.loop.Tick(items)
	for reply, q := range s.pending {
		select {
		case q.response = <-reply:
			q.elapsed = s.now - q.started
			delete(s.pending, reply)
			s.completed = append(s.completed, q)
		default:
		}
	}
}

// runUntil runs the simulation up to a time.
func (c *clock) runUntil(end time.Duration) {
	for {
		next := end
		if len(c.events) > 0 {
			next = min(next, c.events[0].at)
		}
		if s, due := c.nextDue(); s != nil && due < next {
			c.now = max(c.now, due)
			s.tick()
			continue
		}
		if len(c.events) == 0 || c.events[0].at > end {
			c.now = end
			return
		}
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

// nextDue returns the node whose next timer expires first, and when it does.
func (c *clock) nextDue() (first *sim, at time.Duration) {
	for _, s := range c.sims {
		if due, ok := s.loop.NextDue(); ok && (first == nil || due < at) {
			first, at = s, due
		}
	}
	return first, at
}

// runLoad submits requests as a Poisson process for a time, then waits 2 s.
func (s *sim) runLoad(perSecond float64, length time.Duration) {
	end := s.now + length
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		s.submit()
		s.schedule(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.schedule(0, next)
	s.runUntil(end + 2*time.Second)
}

// shareWithin returns the share of requests that were answered within a time, and
// the share of those that cover all shards.
func (s *sim) shareWithin(limit time.Duration) (inTime, complete float64) {
	for _, q := range s.completed {
		if q.response.Outcome() == lagoon.RequestGathered && q.elapsed <= limit {
			inTime++
			if q.response.MissingShards() == 0 {
				complete++
			}
		}
	}
	return inTime / float64(len(s.completed)), complete / max(inTime, 1)
}

// disconnect disconnects the caller of a request.
func (s *sim) disconnect(reply chan lagoon.Response) { s.tick(loop.CallerDisconnected(reply)) }
