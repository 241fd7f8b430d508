// Package world holds the control tables that one goroutine owns, and the loop
// that runs the control systems over them.
//
// # Usage
//
//	w, stop := world.New(box)
//	defer stop()                 // waits for tasks to end
//	w.SetSelf(member)            // and the other collaborators
//	w.SetSystems(ctrl.Systems())
//	err := w.Run(ctx)
//
// A tick happens every Period and whenever a message arrives. Calls that wait,
// to the platform or to servers, run as tasks on other goroutines; a task
// returns a function that the control goroutine applies to the tables.
package world

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/acts"
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

// Period is the time between two ticks without messages.
const Period = 50 * time.Millisecond

// DeadAfter is how long a node may stay silent before it counts as failed.
const DeadAfter = 1600 * time.Millisecond

// maxActs is the number of actions kept.
const maxActs = 2000

// World owns the control tables of one node.
type World struct {
	self          lagoon.Member                                                      // this node
	clock         lagoon.Clock                                                       // the clock
	repo          lagoon.Repository                                                  // the platform's objects
	upstream      lagoon.Upstream                                                    // asks servers for reports
	link          lagoon.PeerLink                                                    // sends messages to other nodes
	journal       lagoon.Journal                                                     // keeps decisions
	lanes         []*mbox.Box                                                        // the mailboxes of the traffic lanes
	current       *atomic.Pointer[view.View]                                         // where views are published
	systems       []lagoon.System[*World]                                            // the systems, in the order they run
	seeds         []string                                                           // addresses of nodes to try first
	config        lagoon.Config                                                      // the configuration in use
	configAt      time.Duration                                                      // when the configuration was adopted
	placement     lagoon.Placement                                                   // the placement in use
	placedAt      time.Duration                                                      // when the placement was adopted
	settledAt     time.Duration                                                      // when a majority of the previous members was seen to know the placement; 0 before
	lease         time.Duration                                                      // the time until which this node may act
	stopping      time.Duration                                                      // when the node began to stop; 0 while it does not
	refusing      bool                                                               // whether the node refuses new queries
	loaded        bool                                                               // whether the platform or a peer told the configuration and the placement
	change        uint64                                                             // the counter of status changes
	touched       uint64                                                             // the counter of changes that the next view must show
	differed      time.Duration                                                      // since when the wanted placement differs; 0 when it does not
	placing       bool                                                               // whether a placement is being written
	listing       bool                                                               // whether the instance list is being read
	listedAt      time.Duration                                                      // when the instance list was last read
	retryAt       time.Duration                                                      // when the platform may be called again after a failure
	configWatched bool                                                               // whether a call that follows the configuration is under way
	configVersion uint64                                                             // the object version of the configuration last read; 0 for none
	placeWatched  bool                                                               // whether a call that follows the placement is under way
	placeVersion  uint64                                                             // the object version of the placement last read; 0 for none
	runner        func(limit time.Duration, task func(context.Context) func(*World)) // runs a task; nil runs it on a goroutine of its own
	beatAt        time.Duration                                                      // when the last regular heartbeat was sent
	beatSoon      bool                                                               // whether to send a heartbeat in this tick
	started       time.Duration                                                      // when the node started

	box     *mbox.Box
	zones   rows.Table[zones.Row]
	svcs    rows.Table[svcs.Row]
	servers rows.Table[srvrs.Row]
	nodes   rows.Table[nodes.Row]
	claims  rows.Table[claims.Row]
	acts    rows.Table[acts.Row]
	pending []func(now time.Duration) bool
	inbox   []any
	told    [][]lagoon.ServerStatus
	asks    []*lagoon.ClaimAsk
	actSeq  uint64
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// New returns a world that receives through box. The clean-up function cancels
// the tasks that still run and waits for them; call it after Run has returned.
func New(box *mbox.Box) (*World, func()) {
	w := &World{box: box}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w, func() {
		w.cancel()
		w.tasks.Wait()
	}
}

// Zones returns the table of zones.
func (w *World) Zones() *rows.Table[zones.Row] { return &w.zones }

// Services returns the table of services.
func (w *World) Services() *rows.Table[svcs.Row] { return &w.svcs }

// Servers returns the table of servers.
func (w *World) Servers() *rows.Table[srvrs.Row] { return &w.servers }

// Nodes returns the table of other nodes.
func (w *World) Nodes() *rows.Table[nodes.Row] { return &w.nodes }

// Claims returns the table of claim buckets.
func (w *World) Claims() *rows.Table[claims.Row] { return &w.claims }

// Acts returns the table of actions.
func (w *World) Acts() *rows.Table[acts.Row] { return &w.acts }

// Inbox returns the messages from other nodes that arrived in this tick.
func (w *World) Inbox() []any { return w.inbox }

// Told returns what the lanes told of their gates in this tick.
func (w *World) Told() [][]lagoon.ServerStatus { return w.told }

// Asks returns the claims asked for in this tick.
func (w *World) Asks() []*lagoon.ClaimAsk { return w.asks }

// Touch says that the next view must show a change.
func (w *World) Touch() { w.touched++ }

// Wait adds a waiter, which is called each tick until it returns true.
func (w *World) Wait(f func(now time.Duration) bool) { w.pending = append(w.pending, f) }

// Waiters returns the waiters and takes them out.
func (w *World) Waiters() []func(now time.Duration) bool {
	p := w.pending
	w.pending = nil
	return p
}

// Run ticks until ctx ends.
func (w *World) Run(ctx context.Context) error {
	var items []any
	for ctx.Err() == nil {
		items = w.box.Wait(ctx, Period, items[:0])
		w.Tick(items)
	}
	return ctx.Err()
}

// Tick takes the messages in and runs the systems once.
func (w *World) Tick(items []any) {
	for _, m := range items {
		w.take(m)
	}
	now := w.clock.Now()
	for _, s := range w.systems {
		s.Run(w, now)
	}
	w.inbox = w.inbox[:0]
	w.told = w.told[:0]
	w.asks = w.asks[:0]
}

func (w *World) take(m any) {
	switch m := m.(type) {
	case func(*World):
		m(w)
	case []lagoon.ServerStatus:
		w.told = append(w.told, m)
	case *lagoon.ClaimAsk:
		w.asks = append(w.asks, m)
	default:
		w.inbox = append(w.inbox, m)
	}
}

// Spawn runs a task on another goroutine and applies the function that it
// returns, if any, on the control goroutine.
func (w *World) Spawn(limit time.Duration, task func(ctx context.Context) func(*World)) {
	if w.runner != nil {
		w.runner(limit, task)
		return
	}
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		ctx, cancel := context.WithTimeout(w.ctx, limit)
		defer cancel()
		if apply := task(ctx); apply != nil {
			_ = w.box.Post(w.ctx, apply) // fails only when control has stopped
		}
	}()
}

// Act records an action with its reason.
func (w *World) Act(kind, subject, reason string) {
	w.actSeq++
	id, a := w.acts.Add("")
	_ = id
	a.SetSeq(w.actSeq)
	a.SetAt(w.clock.Wall())
	a.SetNode(w.self.Name())
	a.SetKind(kind)
	a.SetSubject(subject)
	a.SetReason(reason)
	if w.acts.Len() > maxActs {
		w.dropOldest()
	}
	if w.journal == nil {
		return
	}
	var d lagoon.Decision
	d.SetAt(a.At())
	d.SetNode(a.Node())
	d.SetKind(kind)
	d.SetSubject(subject)
	d.SetReason(reason)
	w.journal.Note(d)
}

func (w *World) dropOldest() {
	oldest := 0
	for i := range w.acts.Len() {
		if w.acts.At(i).Seq() < w.acts.At(oldest).Seq() {
			oldest = i
		}
	}
	w.acts.Remove(w.acts.ID(oldest))
}
