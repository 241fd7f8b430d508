// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package trfc_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc"
)

// The times of a replay: the pattern of load is in force from loadStart to loadEnd, and the
// nodes have had time to notice it at settled.
const (
	settled   = 3500 * time.Millisecond
	loadStart = 2 * time.Second
	loadEnd   = 6 * time.Second
	loadStop  = 7 * time.Second
)

// usualShares are the organisations' shares of the usual load.
var usualShares = []float64{0.20, 0.16, 0.13, 0.12, 0.10, 0.09, 0.08, 0.06, 0.04, 0.02}

// The reference loadKinds of request, most urgent first.
const (
	urgentKind = iota
	gatherKind
	plainKind
	loadKinds
)

var (
	kindNames = [loadKinds]string{"urgent", "gathered", "plain"}
	kindWork  = [loadKinds]time.Duration{3800 * time.Microsecond, 11 * time.Millisecond, 90 * time.Millisecond}
	kindRates = [loadKinds]float64{150, 100, 100} // requests per second of all organisations, 60 % of what the servers can do
)

// loadTest is a replay of a load on nodes that share servers.
type loadTest struct {
	*clock
	nodes      []*sim
	servers    map[string]*server
	rng        *rand.Rand
	routes     [loadKinds]lagoon.Route
	factor     func(kind, organisation int) float64 // of the usual load, from loadStart to loadEnd
	impatient  func(kind, organisation int) bool    // whether refused callers return after returnWait, whatever they were told
	returnWait time.Duration
	anonymous  bool // whether the catalog declares no organisations
	calls      []*call
}

// call is one call of a caller, with all its requests.
type call struct {
	number             int
	kind, organisation int
	started, ended     time.Duration
	outcome            lagoon.RequestOutcome
	requests           int
	shed               int // the requests that admission control refused
}

// newLoadTest returns a replay on eight nodes and 12 shards with two servers each, which report
// their speed and pause as in the reference. A third of the reference's shards takes a ninth of
// its time to replay; as there, a gathered response may lack one shard.
func newLoadTest(t testing.TB, seed uint64) *loadTest {
	x := &loadTest{clock: &clock{now: time.Second}, servers: map[string]*server{}, rng: rand.New(rand.NewPCG(seed, 2))}
	x.factor = func(int, int) float64 { return 1 }
	x.impatient = func(int, int) bool { return false }
	for i := range 8 {
		x.nodes = append(x.nodes, addNode(t, seed*100+uint64(i), x.clock, x.servers))
	}
	names := x.nodes[0].addShards(12, 11*time.Millisecond)
	for _, name := range names {
		delete(x.servers, name+"c")
		for _, zone := range []string{"a", "b"} {
			srv := x.servers[name+zone]
			srv.replica.SetSlots(2)
			srv.maxQueue = 8 + x.rng.IntN(17)
			srv.reportsSpeed = true
			srv.pauseLength, srv.pausePeriod = 120*time.Millisecond, 3*time.Second
			srv.pausePhase = time.Duration(x.rng.Float64() * float64(3*time.Second))
		}
	}
	for kind, r := range x.routes {
		r = gatherRoute(names)
		r.SetName(kindNames[kind])
		r.SetPrefix("/" + kindNames[kind] + "/")
		r.SetPriority(kind)
		r.SetMinCoverage([loadKinds]float64{0.9, 0.9, 0}[kind])
		r.SetObjective([loadKinds]time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond}[kind])
		r.SetTimeout([loadKinds]time.Duration{500 * time.Millisecond, time.Second, 4 * time.Second}[kind])
		if kind == plainKind {
			r.SetShards(nil)
			var targets []lagoon.Target
			for _, name := range names {
				var target lagoon.Target
				target.SetService(name)
				target.SetWeight(1)
				targets = append(targets, target)
			}
			r.SetTargets(targets)
		}
		x.routes[kind] = r
	}
	for i, s := range x.nodes {
		s.publish(x.routes[gatherKind])
		v := *s.publishedView.Load()
		v.SetRoutes(map[string][]*lagoon.Route{"desk": {&x.routes[0], &x.routes[1], &x.routes[2]}})
		v.SetShareDivisor(float64(len(x.nodes)))
		self := v.Self()
		self.SetZone([]string{"a", "b"}[i%2])
		v.SetSelf(self)
		s.publishedView.Store(&v)
		s.loop.SetSystems(slices.Insert(trfc.Systems(), 1, lagoon.System[*loop.Loop](identify{})))
	}
	return x
}

// identify sets the organisations of requests, which their payloads do not have.
type identify struct{}

// Name returns the system's name.
func (identify) Name() string { return "identify" }

// Run sets the organisations of the requests that arrived.
func (identify) Run(l *loop.Loop, _ time.Duration) {
	for _, id := range l.Arrived() {
		if req, ok := l.Requests().Resolve(id); ok {
			request := req.Request()
			req.SetOrganisation(request.Host()[len("desk"):])
			request.SetHost("desk")
			req.SetRequest(request)
		}
	}
}

// run replays the load.
func (x *loadTest) run() {
	begin := x.now
	for kind := range kindRates {
		for organisation, share := range usualShares {
			x.scheduleNext(begin, kind, organisation, share)
		}
	}
	x.runUntil(begin + loadStop + 4*time.Second)
	for _, c := range x.calls {
		c.started -= begin
		c.ended -= begin
	}
}

// scheduleNext schedules the next call of an organisation.
func (x *loadTest) scheduleNext(begin time.Duration, kind, organisation int, share float64) {
	const maxFactor = 8 // calls are drawn at the highest rate and then thinned
	x.schedule(time.Duration(x.rng.ExpFloat64()/(kindRates[kind]*share*maxFactor)*float64(time.Second)), func() {
		at := x.now - begin
		if at >= loadStop {
			return
		}
		factor := 1.0
		if at >= loadStart && at < loadEnd {
			factor = x.factor(kind, organisation)
		}
		if x.rng.Float64() < factor/maxFactor {
			x.start(kind, organisation)
		}
		x.scheduleNext(begin, kind, organisation, share)
	})
}

// start starts a call at a node at random.
func (x *loadTest) start(kind, organisation int) {
	c := &call{number: len(x.calls), kind: kind, organisation: organisation, started: x.now}
	x.calls = append(x.calls, c)
	x.request(c)
}

// request sends a request of a call. After a refusal the caller returns when it was told to,
// while its time lasts.
func (x *loadTest) request(c *call) {
	s := x.nodes[x.rng.IntN(len(x.nodes))]
	responses := make(chan lagoon.Response, 1)
	q := &request{id: fmt.Sprint("r", c.number, "-", c.requests), started: s.now}
	c.requests++
	timeout := c.started + x.routes[c.kind].Timeout() - x.now
	q.ended = func() {
		c.outcome, c.ended = q.response.Outcome(), x.now
		if strings.HasPrefix(q.response.Reason(), "no room") || strings.HasPrefix(q.response.Reason(), "cannot finish") {
			c.shed++
		}
		wait := max(q.response.RetryAfter(), 10*time.Millisecond)
		if x.impatient(c.kind, c.organisation) {
			wait = x.returnWait
		}
		if c.outcome == lagoon.RequestRefused && wait+x.routes[c.kind].Objective() < c.started+x.routes[c.kind].Timeout()-x.now {
			x.schedule(wait, func() { x.request(c) })
		}
	}
	s.pending[responses] = q
	var a lagoon.Request
	a.SetID(q.id)
	a.SetHost("desk")
	if !x.anonymous {
		a.SetHost(fmt.Sprint("desk", "org", c.organisation))
	}
	a.SetPath("/" + kindNames[c.kind] + "/")
	a.SetTimeout(timeout)
	a.SetPayload(kindWork[c.kind])
	row := &reqs.Row{}
	row.SetRequest(a)
	row.SetResponseChan(responses)
	row.SetArrivedAt(s.now)
	s.tick(row)
}

// counts are the results of calls.
type counts struct{ inTime, late, refused, failed, total int }

func (n *counts) add(c *call, objective time.Duration) {
	n.total++
	served := c.outcome == lagoon.RequestServed || c.outcome == lagoon.RequestGathered
	switch {
	case served && c.ended-c.started <= objective:
		n.inTime++
	case served:
		n.late++
	case c.outcome == lagoon.RequestRefused:
		n.refused++
	default:
		n.failed++
	}
}

// share returns the share of calls that were served within the objective.
func (n counts) share() float64 { return float64(n.inTime) / float64(max(n.total, 1)) }

// served returns the share of calls that were served.
func (n counts) served() float64 { return float64(n.inTime+n.late) / float64(max(n.total, 1)) }

func (n counts) String() string {
	return fmt.Sprintf("%d: in time %.3f, late %.3f, refused %.3f, failed %.3f", n.total, n.share(), float64(n.late)/float64(max(n.total, 1)), float64(n.refused)/float64(max(n.total, 1)), float64(n.failed)/float64(max(n.total, 1)))
}

// count counts the calls that began while the pattern was in force and for which a condition
// holds.
func (x *loadTest) count(condition func(c *call) bool) (n counts) {
	for _, c := range x.calls {
		if c.started >= loadStart && c.started < loadEnd && condition(c) {
			n.add(c, x.routes[c.kind].Objective())
		}
	}
	return n
}

// worstSecond returns the lowest share of calls in one second that were served within the
// objective.
func (x *loadTest) worstSecond() float64 {
	worst := 1.0
	for at := loadStart; at < loadStop; at += time.Second {
		var n counts
		for _, c := range x.calls {
			if c.started >= at && c.started < at+time.Second {
				n.add(c, x.routes[c.kind].Objective())
			}
		}
		worst = min(worst, n.share())
	}
	return worst
}

// log prints the results by kind and organisation.
func (x *loadTest) log(t testing.TB, pattern string) {
	t.Helper()
	t.Logf("%s: %s; worst second %.3f", pattern, x.count(func(*call) bool { return true }), x.worstSecond())
	t.Logf("  settled   %s", x.count(isSettled))
	for kind, name := range kindNames {
		t.Logf("  %-9s %s; settled %s", name, x.count(func(c *call) bool { return c.kind == kind }), x.count(func(c *call) bool { return c.kind == kind && isSettled(c) }))
	}
	for organisation := range usualShares {
		t.Logf("  org%d      %s; settled %s", organisation, x.count(func(c *call) bool { return c.organisation == organisation }), x.count(func(c *call) bool { return c.organisation == organisation && isSettled(c) }))
	}
}

func isSettled(c *call) bool { return c.started >= settled }

// loadPatterns are the patterns of load of docs/design/demand.md, section 3.
var loadPatterns = []struct {
	name      string
	maxFailed float64 // of the settled calls
	minUsual  float64 // the least share served of the settled calls of organisations that send as usual
	apply     func(x *loadTest)
}{
	{"calm", 0.01, 0.98, func(*loadTest) {}},
	{"one organisation x 8", 0.05, 0.9, func(x *loadTest) {
		x.factor = func(_, organisation int) float64 { return []float64{8, 1, 1, 1, 1, 1, 1, 1, 1, 1}[organisation] }
	}},
	{"three organisations x 8", 0.05, 0.8, func(x *loadTest) {
		x.factor = func(_, organisation int) float64 { return []float64{8, 1, 1, 1, 8, 1, 1, 8, 1, 1}[organisation] }
	}},
	{"least urgent kind x 8", 0.05, 0.3, func(x *loadTest) {
		x.factor = func(kind, _ int) float64 { return [loadKinds]float64{1, 1, 8}[kind] }
	}},
	{"retry storm", 0.05, 0.95, func(x *loadTest) {
		setRefusals := func(rate float64) {
			for _, srv := range x.servers {
				srv.refusalRate = rate
			}
		}
		x.returnWait = 100 * time.Millisecond
		x.schedule(loadStart, func() {
			setRefusals(1)
			x.impatient = func(int, int) bool { return true }
		})
		x.schedule(loadStart+600*time.Millisecond, func() { setRefusals(0) })
	}},
	{"half of the servers slow", 0.25, 0.65, func(x *loadTest) {
		setSlowdown := func(slowdown float64) {
			for id, srv := range x.servers {
				if id[len(id)-1] == 'b' {
					srv.slowdown = slowdown
				}
			}
		}
		x.schedule(loadStart, func() { setSlowdown(8) })
		x.schedule(loadEnd, func() { setSlowdown(1) })
	}},
}

// Guards against overload that leaves requests without a decision, that makes gathered requests
// take slots and then fail, and in which organisations that send more than usual cost the others
// their responses. Without admission control 0.43 to 0.70 of the settled calls fail where all
// loadKinds have too little room, and nearly all gathered ones beside a burst of plain ones.
func TestLoadPatterns(t *testing.T) {
	for _, p := range loadPatterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			x := newLoadTest(t, 1)
			p.apply(x)
			x.run()
			x.log(t, p.name)
			for _, c := range x.calls {
				if c.ended <= 0 {
					t.Fatalf("call of %s: got no end, want one before its deadline", kindNames[c.kind])
				}
			}
			all := x.count(isSettled)
			if got := float64(all.failed) / float64(all.total); got > p.maxFailed {
				t.Errorf("failed: got %.3f of the settled calls, want at most %.3f", got, p.maxFailed)
			}
			usual := x.count(func(c *call) bool { return isSettled(c) && x.factor(gatherKind, c.organisation) == 1 })
			t.Logf("  usual     %s", usual)
			if got := usual.served(); got < p.minUsual {
				t.Errorf("organisations that send as usual: got %.3f of the settled calls served, want at least %.3f", got, p.minUsual)
			}
		})
	}
}
