// Package node assembles one lagoontrail node from its parts.
//
// # Usage
//
//	n, stop, err := node.New(settings, log, nil)
//	defer stop()
//	err = n.Serve(ctx)          // until ctx ends; then stops gracefully
//
// All goroutines that live as long as the node stand in a suture tree, which
// starts one anew that ends early. Control and each lane own their tables; a
// lane or a control that had to be started anew finds them as they were.
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/clocks"
	"github.com/lagoontrail/lagoon/internal/ctrl"
	"github.com/lagoontrail/lagoon/internal/deps"
	"github.com/lagoontrail/lagoon/internal/htapi"
	"github.com/lagoontrail/lagoon/internal/htplat"
	"github.com/lagoontrail/lagoon/internal/htup"
	"github.com/lagoontrail/lagoon/internal/journl"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/metric"
	"github.com/lagoontrail/lagoon/internal/plink"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/repo"
	"github.com/lagoontrail/lagoon/internal/sets"
	"github.com/lagoontrail/lagoon/internal/trfc"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/pick"
	"github.com/lagoontrail/lagoon/pkg/ramp"
)

// Sizes of mailboxes, in messages.
const (
	laneBox    = 16384
	controlBox = 4096
)

// stopExtra is the longest wait of a stopping node after the callers' answers
// have run out.
const stopExtra = 10 * time.Second

// Node is one node. Make it with New.
type Node struct {
	settings *sets.Settings
	clock    lagoon.Clock
	control  *world.World
	lanes    []*lane.Lane
	boxes    []*mbox.Mailbox
	ctrlBox  *mbox.Mailbox
	current  atomic.Pointer[view.View]
	running  atomic.Int64
	next     atomic.Uint64
	journal  *journl.Journal
	metrics  *metric.Metrics
	link     *plink.Link
	api      *htapi.API
	abort    chan struct{}
}

// New returns a node that listens already. The clean-up function ends what New
// and Serve started; call it after Serve has returned.
//
// decorate, when not nil, may replace collaborators before they are used; tests
// and the bench put delays and failures there.
func New(s *sets.Settings, log *logrus.Logger, decorate func(*deps.Deps)) (*Node, func(), error) {
	n := &Node{settings: s, journal: journl.New(log), metrics: metric.New(), abort: make(chan struct{})}
	n.current.Store(&view.View{})
	link, stopLink := plink.New(log)
	upstream, stopUpstream := htup.New()
	n.link = link
	var p deps.Deps
	p.SetClock(clocks.New())
	p.SetStore(htplat.New(s.Platform(), 0))
	p.SetUpstream(upstream)
	p.SetLink(link)
	if decorate != nil {
		decorate(&p)
	}
	n.clock = p.Clock()
	stopControl := n.makeControl(p)
	stopLanes := n.makeLanes(p)
	n.api = htapi.New(n, n.control, n.journal, n.metrics)
	n.api.SetAddr(s.Listen())
	n.api.SetTTL(s.TTL())
	n.api.SetPeers(link.Accept(n.receive))
	n.gauges()
	stop := func() {
		stopLink()
		stopLanes()
		stopControl()
		stopUpstream()
	}
	if err := n.api.Listen(); err != nil {
		stop()
		return nil, nil, errors.Wrap(err, "start node")
	}
	return n, stop, nil
}

func (n *Node) makeControl(p deps.Deps) func() {
	n.ctrlBox = mbox.New(controlBox)
	w, stop := world.New(n.ctrlBox)
	var self lagoon.Member
	self.SetName(n.settings.Name())
	self.SetZone(n.settings.Zone())
	self.SetAddr(n.settings.Advertise())
	self.SetStartID(uint64(n.clock.Wall().UnixNano()))
	w.SetSelf(self)
	w.SetClock(n.clock)
	w.SetStartedAt(n.clock.Now())
	w.SetRepo(repo.New(p.Store()))
	w.SetUpstream(p.Upstream())
	w.SetLink(p.Link())
	w.SetJournal(n.journal)
	w.SetCurrent(&n.current)
	w.SetSeeds(n.settings.Peers())
	w.SetSystems(ctrl.Systems())
	n.control = w
	return stop
}

func (n *Node) makeLanes(p deps.Deps) func() {
	for range n.settings.Lanes() {
		n.boxes = append(n.boxes, mbox.New(laneBox))
	}
	n.control.SetLanes(n.boxes)
	var stops []func()
	for i, box := range n.boxes {
		l, stop := lane.New(box)
		l.SetNumber(i)
		l.SetMailboxes(n.boxes)
		l.SetControl(n.ctrlBox)
		l.SetClock(n.clock)
		l.SetCurrent(&n.current)
		l.SetUpstream(p.Upstream())
		l.SetLink(p.Link())
		l.SetJournal(n.journal)
		l.SetPicker(pick.Policy{})
		l.SetHedgePolicy(hedge.Policy{})
		l.SetRampPolicy(ramp.Policy{})
		l.SetEjection(n.settings.Ejection())
		l.SetSystems(trfc.Systems())
		n.lanes = append(n.lanes, l)
		stops = append(stops, stop)
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

func (n *Node) gauges() {
	n.metrics.Gauge("lagoontrail_lease_left_seconds", "Time until this node's lease ends, in seconds; 0 without one.", func() float64 {
		return max(n.current.Load().LeaseUntil()-n.clock.Now(), 0).Seconds()
	})
	n.metrics.Gauge("lagoontrail_config_revision", "Revision of the configuration in use.", func() float64 { return float64(n.current.Load().ConfigRevision()) })
	n.metrics.Gauge("lagoontrail_placement_version", "Version of the placement in use.", func() float64 { return float64(n.current.Load().PlacementVersion()) })
	n.metrics.Gauge("lagoontrail_queries_running", "Queries running at this node.", func() float64 { return float64(n.running.Load()) })
	n.metrics.Gauge("lagoontrail_decisions_dropped_total", "Decisions that were not logged because the queue was full.", func() float64 { return float64(n.journal.Dropped()) })
	n.metrics.Gauge("lagoontrail_peer_bytes_total", "Bytes sent to other nodes, without framing.", func() float64 {
		_, bytes := n.link.Sent()
		return float64(bytes)
	})
}

// Control returns the node's control tables, to be used through Do.
func (n *Node) Control() *world.World { return n.control }

// Lanes returns the node's lanes, to be changed before Serve only.
func (n *Node) Lanes() []*lane.Lane { return n.lanes }

// Link returns the node's connections to other nodes.
func (n *Node) Link() *plink.Link { return n.link }

// Journal returns the node's decisions.
func (n *Node) Journal() *journl.Journal { return n.journal }

// serviceFunc makes a function a suture service with a name.
type serviceFunc struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the service.
func (s serviceFunc) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the service's name, for the supervisor's log.
func (s serviceFunc) String() string { return s.name }

// Serve runs the node until ctx ends, then stops it gracefully: it hands over
// its servers and serves on until no caller can still hold its address and its
// requests have ended.
func (n *Node) Serve(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tree := suture.NewSimple("node")
	tree.Add(serviceFunc{"journal", n.journal.Serve})
	tree.Add(serviceFunc{"control", n.control.Run})
	for _, l := range n.lanes {
		tree.Add(serviceFunc{"lane", l.Run})
	}
	tree.Add(serviceFunc{"front end", n.api.Serve})
	failed := tree.ServeBackground(inner)
	select {
	case err := <-failed:
		return errors.Wrap(err, "node")
	case <-n.abort:
		cancel()
		<-failed
		return errors.New("node: aborted")
	case <-ctx.Done():
	}
	n.leave()
	cancel()
	<-failed
	return nil
}

// Abort makes Serve end at once, as a crash would. It is called at most once.
func (n *Node) Abort() { close(n.abort) }

// leave announces the stop and waits until nothing depends on this node any
// more, or until the longest wait has passed.
func (n *Node) leave() {
	n.control.Do(func(w *world.World) {
		w.SetStoppingSince(w.Clock().Now())
		w.SetHeartbeatDue(true)
		w.RecordAction("node_stopping", w.Self().Name(), "asked to stop; its servers are handed over and callers are sent elsewhere")
	})
	done := make(chan struct{})
	served := n.clock.Now() + n.settings.TTL()
	n.control.Do(func(w *world.World) {
		w.AddWaiter(func(now time.Duration) bool {
			ended := now >= served && n.running.Load() == 0 && handedOver(w, now)
			if !ended && now < served+stopExtra {
				return false
			}
			w.SetRefusing(true)
			close(done)
			return true
		})
	})
	<-done
}

// handedOver reports whether the node admits for no server any more, or is
// alone and has nobody to hand over to.
func handedOver(w *world.World, now time.Duration) bool {
	alone := true
	for i := range w.Nodes().Len() {
		alone = alone && !w.Live(w.Nodes().Key(i), now)
	}
	if alone {
		return true
	}
	for i := range w.Servers().Len() {
		if row := w.Servers().At(i); row.Owned() || row.Releasing() {
			return false
		}
	}
	return true
}

// Query answers one query through the next lane.
func (n *Node) Query(ctx context.Context, q lagoon.Query) lagoon.Answer {
	n.running.Add(1)
	defer n.running.Add(-1)
	reply := make(chan lagoon.Answer, 1)
	row := &query.Row{}
	row.SetQuery(q)
	row.SetAnswerChan(reply)
	box := n.boxes[n.next.Add(1)%uint64(len(n.boxes))]
	if !box.TryPost(row) {
		outcome := lagoon.OutcomeNotRun
		if !q.Idempotent() && !q.NeverSent() {
			outcome = lagoon.OutcomeUnknown // an earlier sending of the id may have run
		}
		return refusal(q, n.settings.Name(), outcome, "overload: the node has too many messages waiting")
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		return refusal(q, n.settings.Name(), lagoon.OutcomeUnknown, "the caller went away")
	}
}

func refusal(q lagoon.Query, node string, outcome lagoon.Outcome, reason string) lagoon.Answer {
	var a lagoon.Answer
	a.SetID(q.ID())
	a.SetNode(node)
	a.SetOutcome(outcome)
	a.SetReason(reason)
	return a
}

// receive routes a message from another node to the goroutine that owns what
// it is about.
func (n *Node) receive(ctx context.Context, m lagoon.Message) {
	switch m := m.(type) {
	case *lagoon.ShardRequestBatch:
		n.receiveLegs(ctx, m)
	case *lagoon.ShardResponseBatch:
		n.post(ctx, m.Lane(), m)
	case *lagoon.ClaimResponse:
		n.post(ctx, m.Lane(), m)
	case *lagoon.ShardRequestCancel:
		for i := range n.boxes {
			n.post(ctx, i, m)
		}
	default:
		_ = n.ctrlBox.Post(ctx, m) // fails only when the node stops
	}
}

func (n *Node) post(ctx context.Context, number int, m lagoon.Message) {
	if number >= 0 && number < len(n.boxes) {
		_ = n.boxes[number].Post(ctx, m) // fails only when the node stops
	}
}

// receiveLegs hands each leg to the lane that holds its server's gate.
func (n *Node) receiveLegs(ctx context.Context, m *lagoon.ShardRequestBatch) {
	for i, part := range n.lanes[0].Split(m) {
		if part != nil {
			n.post(ctx, i, part)
		}
	}
}
