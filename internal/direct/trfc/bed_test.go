package trfc_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// near is the delay within a zone, one way.
const near = 200 * time.Microsecond

// step is the accuracy with which the progress of a request is modeled.
const step = time.Millisecond

// pace is how the speed of a server changes. A pause stops all its work, and in a share of the
// intervals its work takes longer.
type pace struct {
	seed        uint64
	pauseLength time.Duration
	pausePeriod time.Duration
	slowShare   float64
	slowFactor  float64
	interval    time.Duration
	slowFrom    time.Duration // the time before which no work takes longer
	figures     int           // how many figures the server reports: 0, 3, or 4 with the slowdown
	claimed     float64       // the slowdown that the server reports in place of the real one; 0 for the real one
}

// slowdown returns how long work takes at a time, relative to the usual time.
func (p *pace) slowdown(at time.Duration) float64 {
	offset := at + time.Duration(p.seed%1024)*p.interval/1024
	if p.slowShare > 0 && at >= p.slowFrom && fraction(p.seed, uint64(offset/p.interval)) < p.slowShare {
		return p.slowFactor
	}
	return 1
}

// end returns when work that starts at a time is done.
func (p *pace) end(at, work time.Duration) time.Duration {
	phase := time.Duration(fraction(p.seed, 0) * float64(p.pausePeriod))
	for work > 0 {
		if p.pausePeriod > 0 {
			if elapsed := (at + phase) % p.pausePeriod; elapsed < p.pauseLength {
				at += p.pauseLength - elapsed
			}
		}
		slowdown := p.slowdown(at)
		done := min(work, time.Duration(float64(step)/slowdown))
		work -= done
		at += time.Duration(float64(done) * slowdown)
	}
	return at
}

// reported returns the slowdown that the server reports, 0 for none.
func (p *pace) reported(at time.Duration) float64 {
	switch {
	case p.figures < 4:
		return 0
	case p.claimed > 0:
		return p.claimed
	}
	return p.slowdown(at)
}

// fraction returns a number from 0 to 1 that depends on nothing but its arguments.
func fraction(seed, n uint64) float64 {
	return rand.New(rand.NewPCG(seed, n)).Float64()
}

// place sets the work of an attempt and returns the server that it goes to. The work depends
// on the request and its shard alone.
func (s *sim) place(j *job, srv *server, a lagoon.Attempt) *server {
	h := fnv.New64a()
	fmt.Fprint(h, s.zone, slices.Index(s.sims, s), a.ID(), srv.replica.Service())
	request := a.Payload().(kind)
	rng := rand.New(rand.NewPCG(h.Sum64(), 2))
	j.work = time.Duration(float64(request.work) * math.Exp(request.spread*rng.NormFloat64()-request.spread*request.spread/2))
	if rng.Float64() < 0.01 {
		j.work *= 5
	}
	if s.oracle {
		for _, zone := range []string{"a", "b", "c"} {
			other := s.servers[srv.replica.Service()+zone]
			if s.finishTime(j, other) < s.finishTime(j, srv) {
				srv = other
			}
		}
	}
	there, _ := s.delays(srv)
	j.arrives = s.now + there
	srv.jobs = append(srv.jobs, j)
	return srv
}

// finishTime returns when the response to an attempt at a server would be received, with all
// that was sent to the server taken into account.
func (s *sim) finishTime(j *job, srv *server) time.Duration {
	there, back := s.delays(srv)
	arrives := s.now + there
	free := make([]time.Duration, srv.replica.Slots())
	run := func(at time.Duration, other *job) time.Duration {
		i := slices.Index(free, slices.Min(free))
		free[i] = srv.pace.end(max(at, free[i]), other.work)
		return free[i]
	}
	for _, other := range srv.jobs {
		if other.ends > s.now {
			free[slices.Index(free, slices.Min(free))] = other.ends
		}
	}
	for _, other := range srv.jobs {
		if other.ends == 0 && !other.canceled && other.arrives <= arrives {
			run(other.arrives, other)
		}
	}
	return run(arrives, j) + back
}

// kind is a kind of request of the load.
type kind struct {
	name        string
	work        time.Duration
	spread      float64
	objective   time.Duration
	timeout     time.Duration
	perSecond   float64 // over all nodes
	gathered    bool
	minCoverage float64
	priority    int
}

// kinds are those of the reference deployment in docs/design/demand.md, section 4.
var kinds = []kind{
	{"look", 20 * time.Millisecond, 0.5, 250 * time.Millisecond, 1500 * time.Millisecond, 100, true, 0.95, 1},
	{"check", 6700 * time.Microsecond, 0.35, 80 * time.Millisecond, 600 * time.Millisecond, 150, true, 0.85, 0},
	{"plan", 160 * time.Millisecond, 0.4, 600 * time.Millisecond, 4 * time.Second, 12 * bedShards, false, 0, 2},
}

// Sizes of the test bed. Callers use six of the nodes of the reference deployment.
const (
	bedNodes  = 6
	bedShards = 12
	warmUp    = 2 * time.Second
)

// bed is nodes that share servers whose speed changes.
type bed struct {
	nodes  []*sim
	kinds  []kind
	load   float64 // a factor of the kinds' rates
	bursts bool    // whether the load doubles for half a second of every four
	retry  bool    // whether callers retry at once after a refusal
}

// newBed returns the reference deployment: servers with 4 slots in three zones 4.4 ms apart.
// figures is the number of figures that the servers report.
func newBed(t testing.TB, seed uint64, figures int) *bed {
	b := &bed{kinds: kinds, load: 1}
	c, servers := &clock{now: time.Second, far: 4400 * time.Microsecond}, map[string]*server{}
	var names []string
	for i := range uint64(bedNodes) {
		s := addNode(t, seed*100+i, c, servers)
		s.zone = string("abc"[i%3])
		if i == 0 {
			names = s.addShards(bedShards, 0)
		}
		b.nodes = append(b.nodes, s)
	}
	for i, name := range names {
		for j, zone := range []string{"a", "b", "c"} {
			servers[name+zone].pace = &pace{
				seed: seed*10_000 + uint64(10*i+j), pauseLength: 200 * time.Millisecond, pausePeriod: 4500 * time.Millisecond,
				slowShare: 0.15, slowFactor: 2.5, interval: 600 * time.Millisecond, figures: figures,
			}
		}
	}
	for _, s := range b.nodes {
		s.publishKinds(b.kinds, names)
	}
	return b
}

// publishKinds publishes a view with a route for each kind of request.
func (s *sim) publishKinds(kinds []kind, services []string) {
	s.publish(gatherRoute(services))
	v := *s.publishedView.Load()
	var routes []*lagoon.Route
	for _, k := range kinds {
		r := gatherRoute(services)
		r.SetName(k.name)
		r.SetPrefix("/" + k.name + "/")
		r.SetObjective(k.objective)
		r.SetTimeout(k.timeout)
		r.SetPriority(k.priority)
		r.SetMinCoverage(k.minCoverage)
		if !k.gathered {
			r.SetShards(nil)
			var targets []lagoon.Target
			for _, service := range services {
				var target lagoon.Target
				target.SetService(service)
				target.SetWeight(1)
				targets = append(targets, target)
			}
			r.SetTargets(targets)
		}
		routes = append(routes, &r)
	}
	v.SetRoutes(map[string][]*lagoon.Route{"desk": routes})
	v.SetShareDivisor(bedNodes)
	s.publishedView.Store(&v)
}

// run replays the load for a time. The arrivals depend on the seed alone.
func (b *bed) run(seed uint64, length time.Duration) {
	for i, s := range b.nodes {
		for j, k := range b.kinds {
			rng := rand.New(rand.NewPCG(seed, uint64(10*i+j)))
			end := s.now + length
			var next func()
			next = func() {
				if s.now >= end {
					return
				}
				s.submitKind(k)
				rate := k.perSecond * b.load / float64(len(b.nodes))
				if b.bursts && s.now%(4*time.Second) < 500*time.Millisecond {
					rate *= 2
				}
				s.schedule(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
			}
			s.schedule(0, next)
		}
	}
	b.nodes[0].runUntil(b.nodes[0].now + length + 2*time.Second)
}

// figures are what callers of one kind of request see.
type figures struct {
	requests int
	served   float64       // the share that was answered with a success
	mean     time.Duration // of the completion time of those
	p99      time.Duration
	missing  float64 // the share of these responses with missing parts
	inTime   float64 // the share that was answered within the objective, in whole or in part
}

func (f figures) String() string {
	return fmt.Sprintf("%5d requests, served %.4f, mean %5.1f ms, p99 %5.1f ms, with missing parts %.4f, in time %.4f", f.requests, f.served, ms(f.mean), ms(f.p99), f.missing, f.inTime)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// figuresOf returns the figures of the requests of a kind that began after the warm-up.
func (b *bed) figuresOf(k kind) figures {
	var f figures
	var times []time.Duration
	total := time.Duration(0)
	for _, s := range b.nodes {
		for _, q := range s.completed {
			if q.path != "/"+k.name+"/" || q.started < time.Second+warmUp {
				continue
			}
			f.requests++
			if o := q.response.Outcome(); o != lagoon.RequestGathered && o != lagoon.RequestServed {
				continue
			}
			times = append(times, q.elapsed)
			total += q.elapsed
			if q.response.MissingShards() > 0 {
				f.missing++
			}
			if q.elapsed <= k.objective {
				f.inTime++
			}
		}
	}
	if len(times) == 0 {
		return f
	}
	slices.Sort(times)
	f.served, f.mean = float64(len(times))/float64(f.requests), total/time.Duration(len(times))
	f.p99, f.missing, f.inTime = times[len(times)*99/100], f.missing/float64(len(times)), f.inTime/float64(f.requests)
	return f
}
