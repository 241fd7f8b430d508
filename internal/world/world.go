// Package world owns the control tables and runs the control systems over them
// on a single goroutine.
//
// # Usage
//
//	w, stop := world.New(mailbox)
//	defer stop()                 // cancels running tasks and waits for them
//	w.SetSelf(member)            // and the other dependencies
//	w.SetSystems(ctrl.Systems())
//	err := w.Run(ctx)
//
// A tick runs every TickInterval and whenever a message arrives. Blocking calls
// to the platform or to servers run as tasks on other goroutines; a task returns
// a function that the control goroutine applies to the tables.
package world

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/action"
	"github.com/lagoontrail/lagoon/internal/claims"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/nodes"
	"github.com/lagoontrail/lagoon/internal/rows"
	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/svcs"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/internal/zones"
)

//go:generate go run ../accgen -dir . -rows

// TickInterval is the longest time between two ticks.
const TickInterval = 50 * time.Millisecond

// FailureTimeout is the time without a heartbeat after which a node is considered failed.
const FailureTimeout = 1600 * time.Millisecond

// maxActions bounds the action log.
const maxActions = 2000

// World owns the control tables of one node.
type World struct {
	self                   lagoon.Member                                                        // this node
	clock                  lagoon.Clock                                                         // the clock
	repo                   lagoon.Repository                                                    // the repository of platform objects
	upstream               lagoon.Upstream                                                      // the client that probes servers
	link                   lagoon.PeerLink                                                      // the link that sends messages to other nodes
	journal                lagoon.Journal                                                       // the journal of decisions
	lanes                  []*mbox.Mailbox                                                      // the mailboxes of the traffic lanes
	publishedView          *atomic.Pointer[view.View]                                           // the pointer through which control publishes the view
	systems                []lagoon.System[*World]                                              // the control systems, in execution order
	seeds                  []string                                                             // the configured addresses of nodes to contact at startup
	config                 lagoon.Config                                                        // the configuration in use
	configAt               time.Duration                                                        // when the configuration was adopted
	placement              lagoon.Placement                                                     // the placement in use
	placementAt            time.Duration                                                        // when the placement was adopted
	settledAt              time.Duration                                                        // when a majority of the previous members was first known to have the placement; 0 before
	leaseUntil             time.Duration                                                        // the time at which this node's lease expires
	stoppingSince          time.Duration                                                        // when shutdown began; 0 while running
	refusing               bool                                                                 // whether the node refuses new queries
	stateLoaded            bool                                                                 // whether the configuration or the placement has been read from the platform
	statusSeq              uint64                                                               // the sequence number of the latest server status change
	viewSeq                uint64                                                               // the sequence number of the latest change that the view must reflect
	placementStaleSince    time.Duration                                                        // since when the desired placement has differed from the one in use; 0 while they are equal
	placementWriting       bool                                                                 // whether a placement write is in progress
	listingInstances       bool                                                                 // whether the instance list is being read
	instancesListedAt      time.Duration                                                        // when the instance list was last requested
	platformRetryAt        time.Duration                                                        // the earliest time of the next platform call after a failure
	configWatching         bool                                                                 // whether a read or watch of the configuration is in progress
	configObjectVersion    uint64                                                               // the object version of the configuration last read; 0 for none
	placementWatching      bool                                                                 // whether a read or watch of the placement is in progress
	placementObjectVersion uint64                                                               // the object version of the placement last read; 0 for none
	runner                 func(timeout time.Duration, task func(context.Context) func(*World)) // the executor of tasks; nil runs each task on a new goroutine
	heartbeatsSentAt       time.Duration                                                        // when heartbeats were last sent to all nodes
	heartbeatDue           bool                                                                 // whether to send heartbeats in this tick
	startedAt              time.Duration                                                        // when the node started

	mailbox       *mbox.Mailbox
	zones         rows.Table[zones.Row]
	svcs          rows.Table[svcs.Row]
	servers       rows.Table[srvrs.Row]
	nodes         rows.Table[nodes.Row]
	claims        rows.Table[claims.Row]
	actions       rows.Table[action.Row]
	waiters       []func(now time.Duration) bool
	peerMessages  []any
	gateStatuses  [][]lagoon.ServerStatus
	claimRequests []*lagoon.ClaimRequest
	actionSeq     uint64
	ctx           context.Context
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
}

// New returns a world that receives its messages from mailbox. The cleanup
// function cancels running tasks and waits for them; call it after Run has
// returned.
func New(mailbox *mbox.Mailbox) (*World, func()) {
	w := &World{mailbox: mailbox}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w, func() {
		w.cancel()
		w.tasks.Wait()
	}
}

// Zones returns the table of availability zones.
func (w *World) Zones() *rows.Table[zones.Row] { return &w.zones }

// Services returns the table of services.
func (w *World) Services() *rows.Table[svcs.Row] { return &w.svcs }

// Servers returns the table of servers.
func (w *World) Servers() *rows.Table[srvrs.Row] { return &w.servers }

// Nodes returns the table of other nodes.
func (w *World) Nodes() *rows.Table[nodes.Row] { return &w.nodes }

// Claims returns the table of claim buckets.
func (w *World) Claims() *rows.Table[claims.Row] { return &w.claims }

// Actions returns the action log.
func (w *World) Actions() *rows.Table[action.Row] { return &w.actions }

// PeerMessages returns the messages from other nodes received in this tick.
func (w *World) PeerMessages() []any { return w.peerMessages }

// GateStatuses returns the server statuses that the lanes reported in this tick.
func (w *World) GateStatuses() [][]lagoon.ServerStatus { return w.gateStatuses }

// ClaimRequests returns the claim requests received in this tick.
func (w *World) ClaimRequests() []*lagoon.ClaimRequest { return w.claimRequests }

// InvalidateView makes the publsh system publish a new view when it runs next.
func (w *World) InvalidateView() { w.viewSeq++ }

// AddWaiter adds a waiter: a function that is called each tick until it returns true.
func (w *World) AddWaiter(f func(now time.Duration) bool) { w.waiters = append(w.waiters, f) }

// TakeWaiters removes and returns all waiters.
func (w *World) TakeWaiters() []func(now time.Duration) bool {
	waiters := w.waiters
	w.waiters = nil
	return waiters
}

// Run executes ticks until ctx ends.
func (w *World) Run(ctx context.Context) error {
	var items []any
	for ctx.Err() == nil {
		items = w.mailbox.Wait(ctx, TickInterval, items[:0])
		w.Tick(items)
	}
	return ctx.Err()
}

// Tick dispatches the messages and runs the systems once.
func (w *World) Tick(items []any) {
	for _, m := range items {
		w.dispatch(m)
	}
	now := w.clock.Now()
	for _, s := range w.systems {
		s.Run(w, now)
	}
	w.peerMessages = w.peerMessages[:0]
	w.gateStatuses = w.gateStatuses[:0]
	w.claimRequests = w.claimRequests[:0]
}

func (w *World) dispatch(m any) {
	switch m := m.(type) {
	case func(*World):
		m(w)
	case []lagoon.ServerStatus:
		w.gateStatuses = append(w.gateStatuses, m)
	case *lagoon.ClaimRequest:
		w.claimRequests = append(w.claimRequests, m)
	default:
		w.peerMessages = append(w.peerMessages, m)
	}
}

// Spawn runs a task on another goroutine, with a timeout, and applies the
// function that it returns, if any, on the control goroutine.
func (w *World) Spawn(timeout time.Duration, task func(ctx context.Context) func(*World)) {
	if w.runner != nil {
		w.runner(timeout, task)
		return
	}
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		ctx, cancel := context.WithTimeout(w.ctx, timeout)
		defer cancel()
		if apply := task(ctx); apply != nil {
			_ = w.mailbox.Post(w.ctx, apply) // fails only after shutdown
		}
	}()
}

// RecordAction appends an action to the action log and to the journal.
func (w *World) RecordAction(kind, subject, reason string) {
	w.actionSeq++
	id, a := w.actions.Add("")
	_ = id
	a.SetSeq(w.actionSeq)
	a.SetTime(w.clock.Wall())
	a.SetNode(w.self.Name())
	a.SetKind(kind)
	a.SetSubject(subject)
	a.SetReason(reason)
	if w.actions.Len() > maxActions {
		w.dropOldestAction()
	}
	if w.journal == nil {
		return
	}
	var d lagoon.Decision
	d.SetTime(a.Time())
	d.SetNode(a.Node())
	d.SetKind(kind)
	d.SetSubject(subject)
	d.SetReason(reason)
	w.journal.Record(d)
}

func (w *World) dropOldestAction() {
	oldest := 0
	for i := range w.actions.Len() {
		if w.actions.At(i).Seq() < w.actions.At(oldest).Seq() {
			oldest = i
		}
	}
	w.actions.Remove(w.actions.ID(oldest))
}
