// Package node assembles a lagoontrail node from its components.
//
// # Usage
//
//	n, stop, err := node.New(settings, log, nil)
//	defer stop()
//	err = n.Serve(ctx)          // until ctx is done, then shuts down gracefully
//
// A suture supervisor runs the long-lived goroutines and restarts one that fails.
// Control and each lane own their tables; the tables survive a restart of the
// goroutine.
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
	"github.com/lagoontrail/lagoon/internal/config"
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
	"github.com/lagoontrail/lagoon/internal/trfc"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/pick"
	"github.com/lagoontrail/lagoon/pkg/ramp"
)

// Sizes of mailboxes, in messages.
const (
	laneMailboxSize    = 16384
	controlMailboxSize = 4096
)

// shutdownTimeout is the longest time that a stopping node waits for its queries and the
// handover of its servers, after the node lists that callers cache have expired.
const shutdownTimeout = 10 * time.Second

// Node is one node. Create it with New.
type Node struct {
	settings       *config.Settings
	clock          lagoon.Clock
	control        *world.World
	lanes          []*lane.Lane
	laneMailboxes  []*mbox.Mailbox
	controlMailbox *mbox.Mailbox
	publishedView  atomic.Pointer[view.View] // the view that control published last
	running        atomic.Int64              // running queries
	nextLane       atomic.Uint64             // round-robin counter
	journal        *journl.Journal
	metrics        *metric.Metrics
	link           *plink.Link
	api            *htapi.API
	abort          chan struct{}
}

// New returns a node that already listens for connections. The cleanup function
// releases the resources of the node; call it after Serve has returned.
//
// decorate may replace the dependencies of the node before they are used, unless it is
// nil. Tests and the bench inject delays and failures with it.
func New(s *config.Settings, log *logrus.Logger, decorate func(*deps.Deps)) (*Node, func(), error) {
	n := &Node{settings: s, journal: journl.New(log), metrics: metric.New(), abort: make(chan struct{})}
	n.publishedView.Store(&view.View{})
	link, stopLink := plink.New(log)
	upstream, stopUpstream := htup.New()
	n.link = link
	var d deps.Deps
	d.SetClock(clocks.New())
	d.SetStore(htplat.New(s.Platform(), 0))
	d.SetUpstream(upstream)
	d.SetLink(link)
	if decorate != nil {
		decorate(&d)
	}
	n.clock = d.Clock()
	stopControl := n.newControl(d)
	stopLanes := n.newLanes(d)
	n.api = htapi.New(n, n.control, n.journal, n.metrics)
	n.api.SetAddr(s.Listen())
	n.api.SetAddressTTL(s.TTL())
	n.api.SetPeerHandler(link.Handler(n.receive))
	n.registerGauges()
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

// newControl creates the control world and returns its cleanup function.
func (n *Node) newControl(d deps.Deps) func() {
	n.controlMailbox = mbox.New(controlMailboxSize)
	w, stop := world.New(n.controlMailbox)
	var self lagoon.Member
	self.SetName(n.settings.Name())
	self.SetZone(n.settings.Zone())
	self.SetAddr(n.settings.Advertise())
	self.SetStartID(uint64(n.clock.Wall().UnixNano()))
	w.SetSelf(self)
	w.SetClock(n.clock)
	w.SetStartedAt(n.clock.Now())
	w.SetRepo(repo.New(d.Store()))
	w.SetUpstream(d.Upstream())
	w.SetLink(d.Link())
	w.SetJournal(n.journal)
	w.SetPublishedView(&n.publishedView)
	w.SetSeeds(n.settings.Peers())
	w.SetSystems(ctrl.Systems())
	n.control = w
	return stop
}

// newLanes creates the lanes and returns their cleanup function.
func (n *Node) newLanes(d deps.Deps) func() {
	for range n.settings.Lanes() {
		n.laneMailboxes = append(n.laneMailboxes, mbox.New(laneMailboxSize))
	}
	n.control.SetLanes(n.laneMailboxes)
	var stops []func()
	for i, mailbox := range n.laneMailboxes {
		l, stop := lane.New(mailbox)
		l.SetNumber(i)
		l.SetMailboxes(n.laneMailboxes)
		l.SetControl(n.controlMailbox)
		l.SetClock(n.clock)
		l.SetPublishedView(&n.publishedView)
		l.SetUpstream(d.Upstream())
		l.SetLink(d.Link())
		l.SetJournal(n.journal)
		l.SetPicker(pick.Policy{})
		l.SetHedgePolicy(hedge.Policy{})
		l.SetRampPolicy(ramp.Policy{})
		l.SetRestoreCondition(n.settings.Ejection())
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

// registerGauges registers the metrics that are read from the node's state.
func (n *Node) registerGauges() {
	n.metrics.AddGauge("lagoontrail_lease_left_seconds", "Time until this node's lease expires, in seconds; 0 without a lease.", func() float64 {
		return max(n.publishedView.Load().LeaseUntil()-n.clock.Now(), 0).Seconds()
	})
	n.metrics.AddGauge("lagoontrail_config_revision", "Revision of the configuration in use.", func() float64 { return float64(n.publishedView.Load().ConfigRevision()) })
	n.metrics.AddGauge("lagoontrail_placement_version", "Version of the placement in use.", func() float64 { return float64(n.publishedView.Load().PlacementVersion()) })
	n.metrics.AddGauge("lagoontrail_queries_running", "Queries running on this node.", func() float64 { return float64(n.running.Load()) })
	n.metrics.AddGauge("lagoontrail_decisions_dropped_total", "Decisions that were not logged because the queue of the log was full.", func() float64 { return float64(n.journal.Dropped()) })
	n.metrics.AddGauge("lagoontrail_peer_silent_total", "Connections to other nodes that were replaced because they did not respond.", func() float64 { return float64(n.link.SilentConns()) })
	n.metrics.AddGauge("lagoontrail_peer_bytes_total", "Bytes sent to other nodes, without WebSocket framing.", func() float64 {
		_, bytes := n.link.Sent()
		return float64(bytes)
	})
}

// Control returns the node's control world. Access its tables only through Do.
func (n *Node) Control() *world.World { return n.control }

// Lanes returns the node's lanes. Do not modify them after Serve is called.
func (n *Node) Lanes() []*lane.Lane { return n.lanes }

// Link returns the link to other nodes.
func (n *Node) Link() *plink.Link { return n.link }

// Journal returns the journal of the node's decisions.
func (n *Node) Journal() *journl.Journal { return n.journal }

// serviceFunc adapts a function to a suture service with a name.
type serviceFunc struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s serviceFunc) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the name of the service, for the supervisor's log.
func (s serviceFunc) String() string { return s.name }

// Serve runs the node until ctx is done, and then shuts it down gracefully: the node hands
// its servers over, and serves queries until the node lists that callers cache have
// expired and its queries have ended.
func (n *Node) Serve(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := suture.NewSimple("node")
	supervisor.Add(serviceFunc{"journal", n.journal.Serve})
	supervisor.Add(serviceFunc{"control", n.control.Run})
	for _, l := range n.lanes {
		supervisor.Add(serviceFunc{"lane", l.Run})
	}
	supervisor.Add(serviceFunc{"front end", n.api.Serve})
	failed := supervisor.ServeBackground(inner)
	select {
	case err := <-failed:
		return errors.Wrap(err, "node")
	case <-n.abort:
		cancel()
		<-failed
		return errors.New("node: aborted")
	case <-ctx.Done():
	}
	n.shutDown()
	cancel()
	<-failed
	return nil
}

// Abort makes Serve return immediately, without a graceful shutdown, to simulate a crash.
// Call it at most once.
func (n *Node) Abort() { close(n.abort) }

// shutDown announces the stop to the other nodes, and waits until the node lists that
// callers cache have expired, the queries have ended and the servers are handed over,
// but at most shutdownTimeout after the expiry. The node then refuses new queries.
func (n *Node) shutDown() {
	n.control.Do(func(w *world.World) {
		w.SetStoppingSince(w.Clock().Now())
		w.SetHeartbeatDue(true)
		w.RecordAction("node_stopping", w.Self().Name(), "stop requested; its servers are handed over and callers are referred to other nodes")
	})
	done := make(chan struct{})
	listsExpireAt := n.clock.Now() + n.settings.TTL()
	n.control.Do(func(w *world.World) {
		w.AddWaiter(func(now time.Duration) bool {
			finished := now >= listsExpireAt && n.running.Load() == 0 && handedOver(w, now)
			if !finished && now < listsExpireAt+shutdownTimeout {
				return false
			}
			w.SetRefusing(true)
			close(done)
			return true
		})
	})
	<-done
}

// handedOver reports whether the node has handed over all its servers, or there is no
// other live node to take them over.
func handedOver(w *world.World, now time.Duration) bool {
	noOtherLive := true
	for i := range w.Nodes().Len() {
		noOtherLive = noOtherLive && !w.Live(w.Nodes().Key(i), now)
	}
	if noOtherLive {
		return true
	}
	for i := range w.Servers().Len() {
		if row := w.Servers().At(i); row.Owned() || row.Releasing() {
			return false
		}
	}
	return true
}

// Query runs a query on the next lane, in round-robin order.
func (n *Node) Query(ctx context.Context, q lagoon.Query) lagoon.Answer {
	n.running.Add(1)
	defer n.running.Add(-1)
	answers := make(chan lagoon.Answer, 1)
	row := &query.Row{}
	row.SetQuery(q)
	row.SetAnswerChan(answers)
	mailbox := n.laneMailboxes[n.nextLane.Add(1)%uint64(len(n.laneMailboxes))]
	if !mailbox.TryPost(row) {
		outcome := lagoon.OutcomeNotRun
		if !q.Idempotent() && !q.NeverSent() {
			outcome = lagoon.OutcomeUnknown // an earlier attempt with this ID may have run
		}
		return emptyAnswer(q, n.settings.Name(), outcome, "overload: the node has too many messages waiting")
	}
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return emptyAnswer(q, n.settings.Name(), lagoon.OutcomeUnknown, "the caller disconnected")
	}
}

// emptyAnswer returns an answer without results.
func emptyAnswer(q lagoon.Query, node string, outcome lagoon.Outcome, reason string) lagoon.Answer {
	var a lagoon.Answer
	a.SetID(q.ID())
	a.SetNode(node)
	a.SetOutcome(outcome)
	a.SetReason(reason)
	return a
}

// receive posts a message from another node to the mailboxes of the lanes or of control
// that handle it.
func (n *Node) receive(ctx context.Context, m lagoon.Message) {
	switch m := m.(type) {
	case *lagoon.ShardRequestBatch:
		n.receiveShardRequests(ctx, m)
	case *lagoon.ShardResponseBatch:
		n.postToLane(ctx, m.Lane(), m)
	case *lagoon.ClaimResponse:
		n.postToLane(ctx, m.Lane(), m)
	case *lagoon.ShardRequestCancel:
		for i := range n.laneMailboxes {
			n.postToLane(ctx, i, m)
		}
	default:
		_ = n.controlMailbox.Post(ctx, m) // fails only if ctx is done, when the node stops
	}
}

// postToLane posts a message to a lane's mailbox. It ignores an invalid lane number,
// which another node may have sent.
func (n *Node) postToLane(ctx context.Context, number int, m lagoon.Message) {
	if number >= 0 && number < len(n.laneMailboxes) {
		_ = n.laneMailboxes[number].Post(ctx, m) // fails only if ctx is done, when the node stops
	}
}

// receiveShardRequests posts each shard request to the lane that owns the gate of its
// server.
func (n *Node) receiveShardRequests(ctx context.Context, m *lagoon.ShardRequestBatch) {
	for i, part := range n.lanes[0].Split(m) {
		if part != nil {
			n.postToLane(ctx, i, part)
		}
	}
}
