// Package node assembles a node that sends requests to servers itself.
//
// # Usage
//
//	n, stop := node.New()
//	defer stop()
//	n.SetSelf(member)            // and the other dependencies
//	go n.Serve(ctx)
//	response := n.Route(ctx, request)
//
// Control and traffic each run on one goroutine. A suture supervisor runs both,
// and the goroutine that announces the node.
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/permit"
	"github.com/lagoontrail/lagoon/internal/direct/ratios"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/internal/direct/trfc"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/pkg/cost"
	"github.com/lagoontrail/lagoon/pkg/cutoff"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/retry"
	"github.com/lagoontrail/lagoon/pkg/score"
	"github.com/lagoontrail/lagoon/pkg/shed"
)

// Sizes of mailboxes, in messages. Traffic handles up to a few thousand messages
// a second, so a full mailbox holds seconds of work.
const (
	trafficMailboxSize = 8192
	controlMailboxSize = 1024
)

//go:generate go run ../../accgen -dir . -rows

// Node is one node. Create it with New.
type Node struct {
	self         lagoon.Member      // this node
	clock        lagoon.Clock       // the clock
	registry     lagoon.Registry    // the registry of the catalog, servers and nodes
	transport    lagoon.Transport   // the transport that sends attempts to servers
	link         lagoon.PeerLink    // the link that sends messages to other nodes
	journal      lagoon.Journal     // the journal of decisions
	hubWait      time.Duration      // how long after its start the node waits for a hub before it reads all topics itself
	announceWait time.Duration      // how long after its start the node waits for other nodes' announcements
	applyTime    time.Duration      // within which a change accepted by the registry must be in force on each node; 0 means the default
	drainTime    time.Duration      // for which a server serves after the registry accepted that it leaves; 0 means the default
	extraRatio   float64            // the retries and hedges that all nodes together may send to a service, as a share of its requests
	extraSlack   float64            // the retries and hedges that all nodes together may send to a service in a window, beyond that share
	extraWindow  time.Duration      // the length of the window that ExtraSlack applies to
	revokeTime   time.Duration      // within which a key that was removed from the catalog must be refused; 0 for no bound
	quotaBounds  lagoon.QuotaBounds // the bounds on the quotas of organisations; zero values mean the defaults
	costModelOff bool               // whether servers are chosen without the cost model

	registryWriter lagoon.RegistryWriter // what writes the states of roll-outs; nil if the deployment has none
	exposureShare  float64               // the share of a service's requests that an unproven version may get; 0 means the default
	rollbackTime   time.Duration         // after the 50th bad response of a version within which requests to it must end; 0 means the default
	admitAll       bool                  // whether admission control under overload is off

	publishedView  atomic.Pointer[view.View]
	control        *state.State
	controlMailbox *mbox.Mailbox
	traffic        *loop.Loop
	trafficMailbox *mbox.Mailbox
	running        atomic.Int64
	requests       atomic.Int64
	controlTick    atomic.Int64
	tally          tally.Tally
}

// New returns a node whose dependencies are to be set before Serve is called. The
// cleanup function cancels pending attempts and registry calls; call it after
// Serve has returned.
func New() (*Node, func()) {
	n := &Node{controlMailbox: mbox.New(controlMailboxSize), trafficMailbox: mbox.New(trafficMailboxSize)}
	n.publishedView.Store(&view.View{})
	control, stopControl := state.New(n.controlMailbox)
	traffic, stopTraffic := loop.New(n.trafficMailbox)
	n.control, n.traffic = control, traffic
	return n, func() {
		stopTraffic()
		stopControl()
	}
}

// PublishedView returns the pointer through which the node publishes its views.
func (n *Node) PublishedView() *atomic.Pointer[view.View] { return &n.publishedView }

// Permission returns what the transport asks right before it sends an attempt.
func (n *Node) Permission() lagoon.Permission {
	return permit.New(n.clock, &n.publishedView, &n.controlTick)
}

// Tally returns the responses by version in the open roll-outs.
func (n *Node) Tally() *tally.Tally { return &n.tally }

// CostRatios returns the ratios of measured to predicted costs.
func (n *Node) CostRatios() *ratios.Histogram { return n.traffic.CostRatios() }

// Running returns the number of requests in progress.
func (n *Node) Running() int64 { return n.running.Load() }

// service is a named suture service.
type service struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the service.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the service's name, for the supervisor's log.
func (s service) String() string { return s.name }

// Serve runs the node until ctx is done.
func (n *Node) Serve(ctx context.Context) error {
	n.assemble()
	// A panic may leave the tables inconsistent, so it ends the process instead of
	// restarting the service.
	tree := suture.New("node", suture.Spec{PassThroughPanics: true})
	tree.Add(service{"control", n.control.Run})
	tree.Add(service{"traffic", n.traffic.Run})
	tree.Add(service{"announcement", func(ctx context.Context) error {
		if err := n.registry.Announce(ctx, n.self); err != nil {
			return err
		}
		return suture.ErrDoNotRestart
	}})
	return tree.Serve(ctx)
}

// assemble passes the dependencies to control and to traffic.
func (n *Node) assemble() {
	n.control.SetSelf(n.self)
	n.control.SetClock(n.clock)
	n.control.SetRequestCount(&n.requests)
	n.control.SetHubWait(n.hubWait)
	n.control.SetAnnounceWait(n.announceWait)
	n.control.SetStartedAt(n.clock.Now())
	n.control.SetApplyTime(n.applyTime)
	n.control.SetDrainTime(n.drainTime)
	n.control.SetRevokeTime(n.revokeTime)
	n.control.SetRegistry(n.registry)
	n.control.SetLink(n.link)
	n.control.SetJournal(n.journal)
	n.control.SetPublishedView(&n.publishedView)
	n.control.SetTickedAt(&n.controlTick)
	n.control.SetRegistryReachable(true)
	n.control.SetQuotaBounds(n.quotaBounds)
	n.control.SetDeliverGrant(n.trafficMailbox.TryPost)
	n.control.SetDeliverLimits(n.trafficMailbox.TryPost)
	n.control.SetDeliverCases(n.trafficMailbox.TryPost)
	if n.registryWriter != nil {
		n.control.EnableRollouts()
		n.control.SetRegistryWriter(n.registryWriter)
		n.control.SetExposureShare(n.exposureShare)
		n.control.SetRollbackTime(n.rollbackTime)
		n.control.SetTally(&n.tally)
		n.traffic.SetTally(&n.tally)
	}
	n.control.SetSystems(ctrl.Systems())
	n.traffic.SetClock(n.clock)
	n.traffic.SetPublishedView(&n.publishedView)
	n.traffic.SetControlTick(&n.controlTick)
	n.traffic.SetTransport(n.transport)
	n.traffic.SetJournal(n.journal)
	n.traffic.SetHedgePolicy(hedge.Policy{})
	n.traffic.SetPartialPolicy(cutoff.Policy{})
	n.traffic.SetReplicaPolicy(score.Policy{})
	n.traffic.SetRetryPolicy(retry.Policy{})
	if !n.costModelOff {
		n.traffic.SetCostModel(cost.New())
	}
	if !n.admitAll {
		n.traffic.SetAdmissionPolicy(shed.Policy{})
	}
	n.traffic.SetExtraRatio(n.extraRatio)
	n.traffic.SetExtraSlack(n.extraSlack)
	n.traffic.SetExtraWindow(n.extraWindow)
	n.traffic.SetDrainTime(n.drainTime)
	n.traffic.SetAskTokens(n.controlMailbox.TryPost)
	n.traffic.SetTellControl(n.controlMailbox.TryPost)
	n.traffic.SetSystems(trfc.Systems())
}

// Receive accepts a message from another node.
func (n *Node) Receive(ctx context.Context, m lagoon.Message) {
	switch m.(type) {
	case *lagoon.Heartbeat, *lagoon.RegistryPush, *lagoon.QuotaRequest, *lagoon.QuotaGrant:
		_ = n.controlMailbox.Post(ctx, m) // fails only if ctx ends, when the node stops
	}
}

// PrepareStop marks the node as stopping: other nodes no longer count it as live,
// and callers are referred to other nodes. It continues to accept requests for a time, and
// each request gets its response within another.
func (n *Node) PrepareStop(ctx context.Context, accept, within time.Duration) {
	now := n.clock.Now()
	_ = n.controlMailbox.Post(ctx, func(s *state.State) { // fails only if ctx ends, when the node stops
		s.SetStopping(true)
		s.SetRefuseAt(now + accept)
		s.SetStopAt(now + within)
		s.SetHeartbeatsSentAt(-time.Hour) // makes heartbeats due in this tick
		s.SetViewStale(true)
		s.Record("node_stopping", "", "stop requested; callers are referred to other nodes, requests are accepted for "+accept.String()+" and end within "+within.String())
	})
}

// Route serves one request.
func (n *Node) Route(ctx context.Context, request lagoon.Request) lagoon.Response {
	n.running.Add(1)
	defer n.running.Add(-1)
	responses := make(chan lagoon.Response, 1)
	row := &reqs.Row{}
	row.SetRequest(request)
	row.SetResponseChan(responses)
	row.SetArrivedAt(n.clock.Now())
	n.requests.Add(1)
	if !n.trafficMailbox.TryPost(row) {
		var response lagoon.Response
		response.SetOutcome(lagoon.RequestRefused)
		response.SetRetryAfter(time.Second) // a full mailbox holds seconds of work
		response.SetReason("the node has too many messages waiting")
		return response
	}
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
		_ = n.trafficMailbox.Post(context.WithoutCancel(ctx), loop.CallerDisconnected(responses)) // blocks while the mailbox is full; the traffic loop outlives all callers, so there is room again
		var response lagoon.Response
		response.SetOutcome(lagoon.RequestCanceled)
		return response
	}
}
