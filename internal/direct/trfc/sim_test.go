package trfc_test

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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
	"github.com/lagoontrail/lagoon/pkg/shed"
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
}

// clock is virtual time with the events that are due later. Nodes that share servers share
// a clock.
type clock struct {
	now    time.Duration
	events events
	seq    int
	sims   []*sim
}

// request is one request of the load and its response.
type request struct {
	id       string
	started  time.Duration
	elapsed  time.Duration
	response lagoon.Response
	ended    func() // called after the response; nil for nothing
}

// server is a modeled server with slots and a queue.
type server struct {
	replica      lagoon.Replica
	meanTime     time.Duration // the mean time of one request
	slowdown     float64       // a factor of the mean time, above 1 for a slow server
	busySlots    int
	queue        []*job
	maxQueue     int     // the queue length above which it refuses requests
	silent       bool    // never responds
	unreachable  bool    // refuses connections
	dropsReplies bool    // runs requests and closes the connection without a response
	lossRate     float64 // the share of responses that are lost
	refusalRate  float64 // the share of requests that are refused
	resetRate    float64 // the share of requests whose connection is reset when they have just started
	pauseLength  time.Duration
	pausePeriod  time.Duration
	pausePhase   time.Duration
	runs         int
	arrivals     []time.Duration // when requests reached it
	leaving      bool            // whether its responses say that it is leaving
	closedUntil  time.Duration   // until when it refuses all requests and asks for a pause of the time that is left
	otherServer  string          // the ID of the server that responds in its place; empty for none
	failRate     float64         // the share of requests that it runs and answers with a failure
	reply        any             // what it responds with; nil for a reply without a stamp
	reportsSpeed bool            // whether its reports of load have a speed
}

type job struct {
	sim      *sim // the node that sent it
	attempt  lagoon.RowID
	work     time.Duration // the mean time of its request; 0 for that of the server
	server   *server       // nil until the request has reached it
	started  time.Duration
	canceled bool
	done     bool
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
	l.SetAdmissionPolicy(shed.Policy{})
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
	self.SetZone("a")
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
func (s *sim) submitWithTimeout(timeout time.Duration) *request {
	reply := make(chan lagoon.Response, 1)
	q := &request{id: fmt.Sprint("r", len(s.pending)+len(s.completed)), started: s.now}
	s.pending[reply] = q
	var a lagoon.Request
	a.SetID(q.id)
	a.SetHost("desk")
	a.SetPath("/x")
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
	var ended []*request
	for reply, q := range s.pending {
		select {
		case q.response = <-reply:
			q.elapsed = s.now - q.started
			delete(s.pending, reply)
			s.completed = append(s.completed, q)
			if q.ended != nil {
				ended = append(ended, q)
			}
		default:
		}
	}
	slices.SortFunc(ended, func(a, b *request) int { return cmp.Compare(a.id, b.id) }) // the order of a map is random
	for _, q := range ended {
		s.schedule(0, q.ended)
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

// startAttempt sends an attempt to a modeled server.
func (s *sim) startAttempt(id lagoon.RowID, a lagoon.Attempt) context.CancelFunc {
	s.attempts = append(s.attempts, a)
	replica := a.Replica()
	srv := s.servers[replica.ID()]
	j := &job{sim: s, attempt: id, started: s.now}
	j.work, _ = a.Payload().(time.Duration)
	const networkDelay = time.Millisecond
	s.schedule(networkDelay, func() {
		if !srv.unreachable {
			j.server = srv
			srv.arrivals = append(srv.arrivals, s.now)
		}
		switch {
		case srv.unreachable:
			s.finish(j, lagoon.StatusNotSent)
		case srv.silent:
		case s.now < srv.closedUntil:
			s.finish(j, lagoon.StatusRefused)
		case srv.otherServer != "":
			s.finish(j, lagoon.StatusRefused)
		case s.rng.Float64() < srv.refusalRate:
			s.finish(j, lagoon.StatusRefused)
		case s.rng.Float64() < srv.resetRate:
			s.finish(j, lagoon.StatusUnknown)
		case srv.busySlots < replica.Slots():
			s.execute(srv, j)
		case len(srv.queue) < srv.maxQueue:
			srv.queue = append(srv.queue, j)
		default:
			s.finish(j, lagoon.StatusRefused)
		}
	})
	return func() {
		j.canceled = true
		s.schedule(0, func() { s.finish(j, lagoon.StatusUnknown) })
	}
}

func (s *sim) execute(srv *server, j *job) {
	srv.busySlots++
	srv.runs++
	duration := time.Duration(float64(cmp.Or(j.work, srv.meanTime)) * srv.slowdown * (0.7 + 0.6*s.rng.Float64()))
	if srv.pausePeriod > 0 {
		if elapsed := (s.now + srv.pausePhase) % srv.pausePeriod; elapsed < srv.pauseLength {
			duration += srv.pauseLength - elapsed
		}
	}
	s.schedule(duration, func() {
		srv.busySlots--
		if srv.dropsReplies || s.rng.Float64() < srv.lossRate {
			s.finish(j, lagoon.StatusUnknown)
		} else if srv.failRate > 0 && s.rng.Float64() < srv.failRate {
			s.finish(j, lagoon.StatusFailed)
		} else {
			s.finish(j, lagoon.StatusOK)
		}
		for len(srv.queue) > 0 && srv.busySlots < srv.replica.Slots() {
			next := srv.queue[0]
			srv.queue = srv.queue[1:]
			if !next.canceled {
				next.sim.execute(srv, next)
			}
		}
	})
}

// finish reports the result of an attempt to the traffic loop, once.
func (s *sim) finish(j *job, status lagoon.Status) {
	if j.done {
		return
	}
	j.done = true
	var v lagoon.AttemptResult
	v.SetStatus(status)
	v.SetReply("answer")
	if j.server != nil && j.server.reply != nil {
		v.SetReply(j.server.reply)
	}
	if j.server != nil && status != lagoon.StatusUnknown {
		v.SetRunning(j.server.busySlots)
		v.SetQueued(len(j.server.queue))
		v.SetSlots(j.server.replica.Slots())
		if j.server.reportsSpeed {
			v.SetSlowdown(j.server.slowdown)
		}
		v.SetLeaving(j.server.leaving)
		v.SetPause(max(j.server.closedUntil-s.now, 0))
		v.SetLeavingServer(j.server.otherServer)
		v.SetAddressReused(j.server.otherServer != "")
	}
	s.tick(loop.AttemptDone(j.attempt, v, s.now-j.started))
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
