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
package drive

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/calls"
	"github.com/lagoontrail/lagoon/internal/direct/ctl"
	"github.com/lagoontrail/lagoon/internal/direct/flow"
	"github.com/lagoontrail/lagoon/internal/direct/sight"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/sys"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/partly"
	"github.com/lagoontrail/lagoon/pkg/prefer"
	"github.com/lagoontrail/lagoon/pkg/reask"
)

// Sizes of mailboxes, in messages. Traffic handles up to a few thousand messages
// a second, so a full mailbox holds seconds of work.
const (
	flowInboxSize  = 8192
	stateInboxSize = 1024
)

//go:generate go run ../../accgen -dir . -rows

// Node is one node. Create it with New.
type Drive struct {
	self        lagoon.Member   // this node
	clock       lagoon.Clock    // the clock
	registry    lagoon.Registry // the registry of declarations, servers and nodes
	exchange    lagoon.Exchange // the transport that sends attempts to servers
	link        lagoon.PeerLink // the link that sends messages to other nodes
	journal     lagoon.Journal  // the journal of decisions
	patience    time.Duration   // how long after its start the node waits for a hub before it reads all topics itself
	settle      time.Duration   // how long after its start the node waits for other nodes' announcements
	extraRatio  float64         // the extra attempts that all nodes may make at a service, as a fraction of its requests
	extraSlack  float64         // the extra attempts beyond that fraction that all nodes may make at a service in a window
	extraWindow time.Duration   // the window over which the extra attempts are counted

	current    atomic.Pointer[sight.View]
	state      *state.State
	stateInbox *mbox.Box
	flow       *flow.Flow
	flowInbox  *mbox.Box
	running    atomic.Int64
	requests   atomic.Int64
}

// New returns a node whose dependencies are to be set before Serve is called. The
// clean-up function cancels pending attempts and registry calls; call it after
// Serve has returned.
func New() (*Drive, func()) {
	d := &Drive{stateInbox: mbox.New(stateInboxSize), flowInbox: mbox.New(flowInboxSize)}
	d.current.Store(&sight.View{})
	s, stopState := state.New(d.stateInbox)
	f, stopFlow := flow.New(d.flowInbox)
	d.state, d.flow = s, f
	return d, func() {
		stopFlow()
		stopState()
	}
}

// Current returns the pointer through which the node publishes its views.
func (d *Drive) Current() *atomic.Pointer[sight.View] { return &d.current }

// Running returns the number of requests in progress.
func (d *Drive) Running() int64 { return d.running.Load() }

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
func (d *Drive) Serve(ctx context.Context) error {
	d.assemble()
	// A panic may leave the tables inconsistent, so it ends the process instead of
	// restarting the service.
	tree := suture.New("node", suture.Spec{PassThroughPanics: true})
	tree.Add(service{"control", d.state.Run})
	tree.Add(service{"traffic", d.flow.Run})
	tree.Add(service{"announcement", func(ctx context.Context) error {
		if err := d.registry.Announce(ctx, d.self); err != nil {
			return err
		}
		return suture.ErrDoNotRestart
	}})
	return tree.Serve(ctx)
}

// assemble passes the dependencies to control and to traffic.
func (d *Drive) assemble() {
	d.state.SetSelf(d.self)
	d.state.SetClock(d.clock)
	d.state.SetRequests(&d.requests)
	d.state.SetHubWait(d.patience)
	d.state.SetAnnounceWait(d.settle)
	d.state.SetStartedAt(d.clock.Now())
	d.state.SetRegistry(d.registry)
	d.state.SetLink(d.link)
	d.state.SetJournal(d.journal)
	d.state.SetCurrent(&d.current)
	d.state.SetRegistryReachable(true)
	d.state.SetSystems(ctl.Systems())
	d.flow.SetClock(d.clock)
	d.flow.SetCurrent(&d.current)
	d.flow.SetExchange(d.exchange)
	d.flow.SetJournal(d.journal)
	d.flow.SetHedger(hedge.Policy{})
	d.flow.SetPartial(partly.Policy{})
	d.flow.SetReplicas(prefer.Policy{})
	d.flow.SetReasker(reask.Policy{})
	d.flow.SetExtraRatio(d.extraRatio)
	d.flow.SetExtraSlack(d.extraSlack)
	d.flow.SetExtraWindow(d.extraWindow)
	d.flow.SetSystems(sys.Systems())
}

// Receive accepts a message from another node.
func (d *Drive) Receive(ctx context.Context, m lagoon.Message) {
	switch m.(type) {
	case *lagoon.Beat, *lagoon.Feed:
		_ = d.stateInbox.Post(ctx, m) // fails only if ctx ends, when the node stops
	}
}

// PrepareStop makes the node tell other nodes and callers that it is stopping. The node
// continues to serve requests.
func (d *Drive) Leave(ctx context.Context) {
	_ = d.stateInbox.Post(ctx, func(s *state.State) { // fails only if ctx ends, when the node stops
		s.SetStopping(true)
		s.SetHeartbeatsSentAt(-time.Hour) // makes heartbeats due in this tick
		s.SetViewStale(true)
		s.Note("node_stopping", "", "stop requested; callers are referred to other nodes")
	})
}

// Route serves one request.
func (d *Drive) Route(ctx context.Context, request lagoon.Ask) lagoon.Ruling {
	d.running.Add(1)
	defer d.running.Add(-1)
	responses := make(chan lagoon.Ruling, 1)
	row := &calls.Row{}
	row.SetAsk(request)
	row.SetReply(responses)
	row.SetArrived(d.clock.Now())
	d.requests.Add(1)
	if !d.flowInbox.TryPost(row) {
		var response lagoon.Ruling
		response.SetEnd(lagoon.EndRefused)
		response.SetRetryAfter(time.Second) // a full mailbox holds seconds of work
		response.SetReason("the node has too many messages waiting")
		return response
	}
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
		_ = d.flowInbox.Post(context.WithoutCancel(ctx), flow.Gone(responses)) // blocks while the mailbox is full; traffic runs longer than any caller waits
		var response lagoon.Ruling
		response.SetEnd(lagoon.EndGone)
		return response
	}
}
