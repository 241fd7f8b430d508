// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package ctrl_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/pkg/cutoff"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/retry"
	"github.com/lagoontrail/lagoon/pkg/score"
)

// The bounds of the quotas in these tests, which are those of the reference deployment.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// crowdStep is the virtual time between two steps of all nodes and callers.
const crowdStep = 2 * time.Millisecond

// crowd simulates nodes with control and traffic, and callers of several organisations.
type crowd struct {
	*fleet
	rng    *rand.Rand
	orgs   []*organisation
	fronts []*frontNode
	spread func(o *organisation) *frontNode // the node that a request goes to
}

// organisation is the callers of one organisation.
type organisation struct {
	name        string
	rate, burst float64 // the quota
	usual       float64 // requests per second
	factor      float64 // of the usual rate
	sent        []time.Duration
	refused     int
	delays      []time.Duration // between arrival and the first attempt
}

// frontNode is the traffic of one node.
type frontNode struct {
	*node
	crowd    *crowd
	traffic  *loop.Loop
	items    []any
	results  []result
	counter  int64
	ticked   time.Duration
	paused   bool
	requests []*asked
}

// asked is a request in progress.
type asked struct {
	id    string
	org   *organisation
	reply chan lagoon.Response
	at    time.Duration
	sent  bool
}

type result struct {
	at      time.Duration
	attempt lagoon.RowID
}

// newCrowd returns a fleet of nodes, of which the first are large and get all requests, with
// organisations whose sizes follow Zipf's law and which together send a rate of requests. Quotas
// are 1.6 times the usual rate.
func newCrowd(t *testing.T, nodes, large, organisations int, total float64) *crowd {
	f := newFleet(t, 0)
	f.largeNodes = large
	c := &crowd{fleet: f, rng: rand.New(rand.NewPCG(7, uint64(nodes)))}
	sum := 0.0
	for i := range organisations {
		sum += 1 / float64(i+1)
	}
	for i := range organisations {
		usual := total / sum / float64(i+1)
		c.orgs = append(c.orgs, &organisation{name: fmt.Sprintf("org-%02d", i), usual: usual, factor: 1, rate: 1.6 * usual, burst: math.Ceil(1.6 * usual)})
	}
	c.declare()
	f.announce("s1", false)
	for i := range nodes {
		c.startFront(fmt.Sprintf("node-%02d", i), string(rune('a'+i%4)))
	}
	c.spread = func(*organisation) *frontNode { return c.fronts[c.rng.IntN(large)] }
	return c
}

// declare writes a catalog with the organisations.
func (c *crowd) declare() {
	var target lagoon.Target
	target.SetService("desk")
	target.SetWeight(1)
	var route lagoon.Route
	route.SetName("desk")
	route.SetHost("desk")
	route.SetPrefix("/")
	route.SetTimeout(time.Second)
	route.SetObjective(300 * time.Millisecond)
	route.SetMaxAttempts(2)
	route.SetTargets([]lagoon.Target{target})
	var pool lagoon.Pool
	pool.SetName("desk")
	pool.SetMaxConns(1 << 20)
	var organisations []lagoon.Organisation
	for _, o := range c.orgs {
		var org lagoon.Organisation
		org.SetName(o.name)
		org.SetKeys([]string{"key of " + o.name})
		org.SetRatePerSecond(o.rate)
		org.SetBurst(o.burst)
		organisations = append(organisations, org)
	}
	c.declared.SetRoutes([]lagoon.Route{route})
	c.declared.SetPools([]lagoon.Pool{pool})
	c.declared.SetOrganisations(organisations)
	c.changeCatalog()
}

// startFront starts or restarts a node with traffic.
func (c *crowd) startFront(name, zone string) *frontNode {
	n := &frontNode{node: c.start(name, zone), crowd: c}
	l, stop := loop.New(mbox.New(16))
	c.t.Cleanup(stop)
	l.SetClock(c.fleet)
	l.SetPublishedView(&n.publishedView)
	l.SetHedgePolicy(hedge.Policy{})
	l.SetPartialPolicy(cutoff.Policy{})
	l.SetReplicaPolicy(score.Policy{})
	l.SetRetryPolicy(retry.Policy{})
	l.SetSystems(trfc.Systems())
	l.SetStarter(n.startAttempt)
	l.SetRandom(c.rng.Float64)
	n.traffic = l
	l.SetAskTokens(func(m any) bool { n.mailbox = append(n.mailbox, m); return true })
	n.control.SetDeliverGrant(func(m any) bool { n.items = append(n.items, m); return true })
	n.control.SetRequestCount(&n.requestCount)
	for i, old := range c.fronts {
		if old.self.Name() == name {
			c.fronts[i] = n
			return n
		}
	}
	c.fronts = append(c.fronts, n)
	return n
}

// startAttempt counts a request that reaches a server, which answers after 20 ms.
func (n *frontNode) startAttempt(id lagoon.RowID, a lagoon.Attempt) context.CancelFunc {
	now := n.fleet.now
	for _, r := range n.requests {
		if r.id == a.ID() && !r.sent {
			r.sent = true
			r.org.sent = append(r.org.sent, now)
			r.org.delays = append(r.org.delays, now-r.at)
		}
	}
	n.results = append(n.results, result{now + 20*time.Millisecond, id})
	return func() {}
}

// submit sends a request of an organisation to a node.
func (n *frontNode) submit(o *organisation) {
	if n.down {
		return
	}
	n.counter++
	r := &asked{id: fmt.Sprint(n.self.Name(), n.self.StartID(), n.counter), org: o, reply: make(chan lagoon.Response, 1), at: n.fleet.now}
	var request lagoon.Request
	request.SetID(r.id)
	request.SetHost("desk")
	request.SetPath("/x")
	request.SetKey("key of " + o.name)
	row := &reqs.Row{}
	row.SetRequest(request)
	row.SetResponseChan(r.reply)
	row.SetArrivedAt(n.fleet.now)
	n.requests = append(n.requests, r)
	n.requestCount.Add(1)
	n.items = append(n.items, row)
}

// step runs one node for one step.
func (n *frontNode) step() {
	now := n.fleet.now
	if n.down || n.paused {
		return
	}
	n.results = slices.DeleteFunc(n.results, func(r result) bool {
		if r.at > now {
			return false
		}
		var v lagoon.AttemptResult
		v.SetStatus(lagoon.StatusOK)
		v.SetReply("answer")
		n.items = append(n.items, loop.AttemptDone(r.attempt, v, 20*time.Millisecond))
		return true
	})
	n.tickTraffic()
	if items := append(n.fleet.respond(n.node), n.mailbox...); len(items) > 0 || now-n.ticked >= 100*time.Millisecond {
		n.mailbox = nil
		n.ticked = now
		n.control.Tick(items)
	}
	n.tickTraffic()
}

func (n *frontNode) tickTraffic() {
	if due, ok := n.traffic.NextDue(); len(n.items) == 0 && (!ok || due > n.fleet.now) {
		return
	}
	items := n.items
	n.items = nil
	n.traffic.Tick(items)
	n.requests = slices.DeleteFunc(n.requests, func(r *asked) bool {
		select {
		case response := <-r.reply:
			if response.Outcome() != lagoon.RequestServed {
				r.org.refused++
			}
			return true
		default:
			return false
		}
	})
}

// run advances virtual time. Requests arrive as Poisson processes.
func (c *crowd) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += crowdStep {
		c.deliver()
		for _, o := range c.orgs {
			for at := c.rng.ExpFloat64(); at < o.usual*o.factor*crowdStep.Seconds(); at += c.rng.ExpFloat64() {
				c.spread(o).submit(o)
			}
		}
		for _, n := range c.fronts {
			n.step()
		}
	}
}

// forget forgets the requests so far.
func (c *crowd) forget() {
	for _, o := range c.orgs {
		o.sent, o.refused, o.delays = nil, 0, nil
	}
}

// refusedShare returns the share of requests that were refused, of organisations that send no
// more than their quota.
func (c *crowd) refusedShare() float64 {
	refused, all := 0, 0
	for _, o := range c.orgs {
		if o.factor*o.usual <= o.rate {
			refused += o.refused
			all += o.refused + len(o.sent)
		}
	}
	return float64(refused) / float64(max(all, 1))
}

// mostInWindow returns the most requests of an organisation that reached servers in a window that
// begins at from or later.
func (o *organisation) mostInWindow(from time.Duration) int {
	slices.Sort(o.sent)
	most, first := 0, 0
	for i, at := range o.sent {
		for o.sent[first] <= at-quotaWindow || o.sent[first] < from {
			if first == i {
				break
			}
			first++
		}
		if at >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// bound returns the most requests of an organisation that may reach servers in a window.
func (o *organisation) bound() float64 {
	return (o.rate*quotaWindow.Seconds()+o.burst)*(1+quotaOverage) + quotaSlack
}

// checkBound checks the bound of all organisations, and logs how close they came to it.
func (c *crowd) checkBound(when string) {
	c.t.Helper()
	worst, name := 0.0, ""
	for _, o := range c.orgs {
		most := o.mostInWindow(0)
		if ratio := float64(most) / o.bound(); ratio > worst {
			worst, name = ratio, o.name
		}
		if float64(most) > o.bound() {
			c.t.Errorf("%s: %s: got %d requests in a window, want at most %.0f", when, o.name, most, o.bound())
		}
	}
	delays := []time.Duration{}
	for _, o := range c.orgs {
		delays = append(delays, o.delays...)
	}
	slices.Sort(delays)
	c.t.Logf("%s: refused of those within their quota %.3f %%; most in a window %.0f %% of the bound (%s); time until the first attempt: p50 %s, p99 %s", when, 100*c.refusedShare(), 100*worst, name, delays[len(delays)/2], delays[len(delays)*99/100])
}

// granter returns the node that most nodes name as their granter.
func (c *crowd) granter() *frontNode {
	count := map[string]int{}
	for _, n := range c.fronts {
		if !n.down {
			count[n.control.Ledger().Granter()]++
		}
	}
	return slices.MaxFunc(c.fronts, func(a, b *frontNode) int {
		return cmp.Compare(count[a.self.Name()], count[b.self.Name()])
	})
}

// TestQuotaInCalm guards against refusals within the quota, and against waiting for tokens.
func TestQuotaInCalm(t *testing.T) {
	c := newCrowd(t, 131, 8, 83, 1500)
	c.run(8 * time.Second)
	c.forget()
	c.run(15 * time.Second)
	c.checkBound("calm")
	if got := c.refusedShare(); got > 0.005 {
		t.Errorf("got %.3f %% of the requests within the quota refused, want at most 0.5 %%", 100*got)
	}
}

// TestQuotaOfHotOrganisation guards against an organisation that gets more than its quota, and
// against others that are refused because of it.
func TestQuotaOfHotOrganisation(t *testing.T) {
	c := newCrowd(t, 40, 8, 83, 1500)
	c.run(6 * time.Second)
	c.forget()
	c.orgs[1].factor = 8
	c.run(15 * time.Second)
	c.checkBound("organisation x 8")
	if got := c.refusedShare(); got > 0.005 {
		t.Errorf("got %.3f %% of the requests of others refused, want at most 0.5 %%", 100*got)
	}
	if got, want := float64(len(c.orgs[1].sent)), 0.9*c.orgs[1].rate*15; got < want {
		t.Errorf("hot organisation: got %.0f requests served, want at least %.0f", got, want)
	}
}
