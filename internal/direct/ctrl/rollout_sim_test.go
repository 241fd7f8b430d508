package ctrl_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/pkg/dither"
)

// Bounds of a roll-out.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackLimit = 5 * time.Second
	fiftieth      = 50
)

// rollouts simulates the orders in the registry and the traffic of one service whose versions
// are v1 (old) and v2 (target).
type rollouts struct {
	f        *fleet
	t        *testing.T
	rng      *rand.Rand
	orders   map[string]lagoon.Rollout
	removed  map[string]uint64
	writes   []string                        // the states that were written
	lose     func() (request, reply bool)    // which part of the next write to lose; nil for none
	delay    func(n *node) time.Duration     // until a write arrives; nil for none
	late     []lateWrite                     // writes on their way
	tallies  map[*node]*tally.Tally          // of the running nodes
	counters map[*node]*dither.Counter       // of the running nodes
	paused   map[*node]bool                  // nodes whose control stands still, with their traffic
	perTick  float64                         // requests of each node in a tick
	bad      func(now time.Duration) float64 // share of bad responses of the target
	usualBad float64                         // share of bad responses of the old version

	total, target, targetBad int
	targetAfterOrder         int
	refused                  int
	fiftiethAt               time.Duration
	lastTarget               time.Duration
	completedAt, rolledBack  time.Duration
	oldAfterCompletion       int
	targetAfterRollback      time.Duration // the latest request to the target after the roll-back was written
}

type lateWrite struct {
	at time.Duration
	do func()
}

// enable makes a node take part in roll-outs.
func (r *rollouts) enable(n *node) {
	counts := &tally.Tally{}
	r.tallies[n] = counts
	counter := dither.Start(r.rng.Float64())
	r.counters[n] = &counter
	n.control.EnableRollouts()
	n.control.SetTally(counts)
	n.control.SetExposureShare(exposureShare)
	n.control.SetRollbackTime(rollbackLimit)
	n.control.SetRegistryWriter(&writer{r, n})
	n.control.SetWriteRunner(func(write func(context.Context) error, done func(*state.State, error)) {
		finish := func() {
			err := write(context.Background())
			n.mailbox = append(n.mailbox, func(s *state.State) { done(s, err) })
		}
		if r.delay != nil {
			if d := r.delay(n); d > 0 {
				r.late = append(r.late, lateWrite{r.f.now + d, finish})
				return
			}
		}
		finish()
	})
}

// writer is a lagoon.RegistryWriter with conditional writes.
type writer struct {
	r *rollouts
	n *node
}

// WriteRollout implements lagoon.RegistryWriter.
func (w *writer) WriteRollout(_ context.Context, order lagoon.Rollout, state lagoon.RolloutState, mayWrite func() error) error {
	r := w.r
	if err := mayWrite(); err != nil {
		return err
	}
	if r.f.registryDown || w.n.registryCutOff {
		return lagoon.ErrUnavailable
	}
	request, reply := false, false
	if r.lose != nil {
		request, reply = r.lose()
	}
	if request {
		return lagoon.ErrUnavailable
	}
	current, ok := r.orders[order.Service()]
	if !ok || current.Revision() != order.Revision() {
		return errors.Wrap(lagoon.ErrConflict, "another revision")
	}
	current.SetState(state)
	r.put(current)
	r.writes = append(r.writes, fmt.Sprintf("%s %s", order.TargetVersion(), state))
	switch state {
	case lagoon.RolloutCompleted:
		r.completedAt = r.f.now
	case lagoon.RolloutRolledBack:
		r.rolledBack = r.f.now
	}
	if reply {
		return lagoon.ErrUnavailable
	}
	return nil
}

func (r *rollouts) put(order lagoon.Rollout) {
	r.f.revision++
	order.SetRevision(r.f.revision)
	r.orders[order.Service()] = order
	delete(r.removed, order.Service())
}

// order writes an order.
func (r *rollouts) order(service, target string, duration time.Duration) {
	var order lagoon.Rollout
	order.SetService(service)
	order.SetTargetVersion(target)
	order.SetDuration(duration)
	r.put(order)
}

// withdraw removes an order.
func (r *rollouts) withdraw(service string) {
	r.f.revision++
	delete(r.orders, service)
	r.removed[service] = r.f.revision
}

func (r *rollouts) changes(update *lagoon.RegistryUpdate, after uint64) {
	for _, order := range r.orders {
		if order.Revision() > after {
			update.SetRollouts(append(update.Rollouts(), order))
		}
	}
	for service, revision := range r.removed {
		if revision > after {
			update.SetRemoved(append(update.Removed(), service))
		}
	}
}

// newRollout returns a fleet with two versions of the service desk.
func newRollout(t *testing.T, nodes int, perSecond float64) *rollouts {
	f := newFleet(t, 0)
	r := &rollouts{f: f, t: t, rng: rand.New(rand.NewPCG(1, 2)), orders: map[string]lagoon.Rollout{}, removed: map[string]uint64{}, tallies: map[*node]*tally.Tally{}, counters: map[*node]*dither.Counter{}, paused: map[*node]bool{}, perTick: perSecond * tickStep.Seconds(), usualBad: 0.01, bad: func(time.Duration) float64 { return 0.01 }}
	f.rollouts = r
	f.startNodes(nodes)
	for i := range 3 {
		r.announce(fmt.Sprint("old-", i), "v1")
	}
	f.run(4 * time.Second)
	return r
}

// announce announces a server.
func (r *rollouts) announce(id, version string) {
	r.f.announce(id, false)
	replica := r.f.servers[id]
	replica.SetVersion(version)
	r.f.servers[id] = replica
}

// begin announces servers of the target and orders its roll-out.
func (r *rollouts) begin(duration time.Duration) {
	r.order("desk", "v2", duration)
	for i := range 3 {
		r.announce(fmt.Sprint("new-", i), "v2")
	}
}

// run advances virtual time with traffic at every node that runs.
func (r *rollouts) run(d time.Duration) {
	for end := r.f.now + d; r.f.now < end; {
		var remaining []lateWrite
		for _, w := range r.late {
			if r.f.now < w.at {
				remaining = append(remaining, w)
				continue
			}
			w.do()
		}
		r.late = remaining
		for n := range r.paused {
			n.down = true
		}
		r.f.run(tickStep)
		for n := range r.paused {
			n.down = false
		}
		for _, n := range r.f.nodes {
			if !n.down && !r.paused[n] {
				r.traffic(n)
			}
		}
	}
}

// traffic sends the requests of a node in one tick.
func (r *rollouts) traffic(n *node) {
	v := n.publishedView.Load()
	t := v.TermsOf("desk")
	if t != nil {
		r.tallies[n].Begin("desk", t.Order(), t.Shift())
	}
	requests := int(r.perTick)
	if r.rng.Float64() < r.perTick-float64(requests) {
		requests++
	}
	for range requests {
		r.total++
		r.send(n, n.publishedView.Load().ServersOf("desk"))
	}
}

// send sends one request of a node the way that traffic does.
func (r *rollouts) send(n *node, servers []lagoon.Replica) {
	now := r.f.now
	t := n.publishedView.Load().TermsOf("desk")
	usable := map[string]bool{}
	for _, s := range servers {
		if t == nil || t.MayUse(s.Version(), now) && (s.Version() != t.Target() || t.BadLimit() == 0 || r.tallies[n].TargetBad("desk") < t.BadLimit()) {
			usable[s.Version()] = true
		}
	}
	target := ""
	if t != nil {
		target = t.Target()
	}
	version := "v1"
	switch c := r.counters[n]; {
	case len(usable) == 0:
		r.refused++
		return
	case t == nil && usable["v2"]:
		version = "v2"
	case usable[target] && (!usable["v1"] || c.Due(t.Share())):
		version = target
	case !usable["v1"]:
		for v := range usable {
			version = v
		}
	}
	if usable[target] && !t.Shift() {
		r.counters[n].Count(t.Share(), version == target)
	}
	r.respond(n, version, target)
}

// respond counts the response to a request. Figures of the target are those of v2.
func (r *rollouts) respond(n *node, version, target string) {
	now := r.f.now
	bad := r.rng.Float64() < r.usualBad
	if version == "v2" {
		r.target++
		r.lastTarget = now
		if bad = r.rng.Float64() < r.bad(now); bad {
			r.targetBad++
		}
		if r.targetBad == fiftieth && r.fiftiethAt == 0 {
			r.fiftiethAt = now
		}
		if r.rolledBack > 0 {
			r.targetAfterRollback = now
		}
	} else if r.completedAt > 0 && version == "v1" {
		r.oldAfterCompletion++
	}
	r.tallies[n].Sent("desk", version == target)
	r.tallies[n].Ended("desk", "browse", version == target, true, bad)
}

// state returns the state of the order in the registry.
func (r *rollouts) state() lagoon.RolloutState {
	order := r.orders["desk"]
	return order.State()
}

// checkBounds checks what holds in every roll-out. total counts the requests of the whole
// duration.
func (r *rollouts) checkBounds(bad bool) {
	r.t.Helper()
	if r.oldAfterCompletion > 0 {
		r.t.Errorf("requests to the old version after completion: got %d, want none", r.oldAfterCompletion)
	}
	if !bad {
		return
	}
	if most := exposureShare*float64(r.total) + exposureSlack; float64(r.target) > most {
		r.t.Errorf("requests to a bad version: got %d of %d, want at most %.0f", r.target, r.total, most)
	}
	if r.fiftiethAt > 0 && r.lastTarget > r.fiftiethAt+rollbackLimit {
		r.t.Errorf("last request to a bad version: got %s after the 50th bad response, want at most %s", r.lastTarget-r.fiftiethAt, rollbackLimit)
	}
}

// decider returns the node that decides on the order, or nil.
func (r *rollouts) decider() *node {
	for _, n := range r.f.nodes {
		if row, ok := n.control.Orders().Find("desk"); ok && row.Deciding() && !n.down {
			return n
		}
	}
	return nil
}
