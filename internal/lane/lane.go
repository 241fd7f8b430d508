// Package lane provides the event loop of a traffic lane: one goroutine that owns
// a set of traffic tables and runs the traffic systems over them.
//
// # Usage
//
//	l, stop := lane.New(mailbox)
//	defer stop()                   // waits for requests to servers to end
//	l.SetClock(clock)              // and the other dependencies
//	l.SetSystems(trfc.Systems())
//	err := l.Run(ctx)
//
// A lane ticks when a message arrives or a timer expires. A tick moves the
// messages into the tables and event lists, runs the systems in order, and sends
// the messages in the outbox. Other goroutines communicate with a lane only
// through its mailbox. Once per tick, the lane loads the view that the
// control goroutine published last.
package lane

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/loads"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/peers"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/rows"
	"github.com/lagoontrail/lagoon/internal/shreqs"
	"github.com/lagoontrail/lagoon/internal/svcst"
	"github.com/lagoontrail/lagoon/internal/timers"
	"github.com/lagoontrail/lagoon/internal/view"
)

//go:generate go run ../accgen -dir . -rows

// maxIdleWait is the longest wait for messages when no timer is set.
const maxIdleWait = time.Second

// reportInterval is the interval at which gates are reported to control.
const reportInterval = 100 * time.Millisecond

// Lane is a traffic lane and its tables.
type Lane struct {
	number           int                        // the lane's number at its node, from 0
	mailboxes        []*mbox.Mailbox            // the mailboxes of all lanes of the node
	control          *mbox.Mailbox              // the mailbox of the control goroutine
	clock            lagoon.Clock               // the clock
	publishedView    *atomic.Pointer[view.View] // the pointer through which control publishes the view
	upstream         lagoon.Upstream            // the client that sends requests to servers
	link             lagoon.PeerLink            // the link that sends messages to other nodes
	journal          lagoon.Journal             // the journal of decisions
	picker           lagoon.Picker              // the replica selection policy
	hedgePolicy      lagoon.HedgePolicy         // the hedging policy
	rampPolicy       lagoon.RampPolicy          // the ramp-up policy
	systems          []lagoon.System[*Lane]     // the systems, in execution order
	restoreCondition string                     // the condition on which an ejected server is restored: "probe", "timer" or "escalating"
	unlimited        bool                       // whether all limits and policies are disabled, for baseline measurements

	mailbox  *mbox.Mailbox
	view     *view.View
	queries  rows.Table[query.Row]
	requests rows.Table[shreqs.Row]
	jobs     rows.Table[jobs.Row]
	gates    rows.Table[gates.Row]
	services rows.Table[svcst.Row]
	loads    rows.Table[loads.Row]
	peers    rows.Table[peers.Row]
	timers   timers.Heap

	// Events of the current tick.
	newQueries     []lagoon.RowID
	toPlan         []lagoon.RowID
	toSend         []lagoon.RowID
	toFinish       []lagoon.RowID
	responses      []lagoon.ShardResponse
	batches        []*lagoon.ShardRequestBatch
	cancels        []*lagoon.ShardRequestCancel
	claimResponses []*lagoon.ClaimResponse
	endedJobs      []lagoon.RowID
	toLaunch       []lagoon.RowID
	// dueRows lists the rows with an expired timer, by the timer's kind.
	dueRows [4][]lagoon.RowID

	outbox outbox
	// tickAgain is set when flush leaves responses or batches for another tick.
	tickAgain  bool
	lastReport time.Duration
	// reportedPlacement is the placement version of the last full report.
	reportedPlacement uint64
	// ctx is the parent of the contexts of all requests to servers.
	ctx     context.Context
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// jobResult reports the end of a request to a server.
type jobResult struct {
	job      lagoon.RowID
	reply    lagoon.Reply
	duration time.Duration
}

// New returns a lane that receives messages from mailbox. The returned function
// cancels the running requests to servers and waits for them; call it after Run
// has returned.
func New(mailbox *mbox.Mailbox) (*Lane, func()) {
	l := &Lane{mailbox: mailbox}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, func() {
		l.cancel()
		l.running.Wait()
	}
}

// Queries returns the table of queries.
func (l *Lane) Queries() *rows.Table[query.Row] { return &l.queries }

// ShardRequests returns the table of shard requests.
func (l *Lane) ShardRequests() *rows.Table[shreqs.Row] { return &l.requests }

// Jobs returns the table of jobs.
func (l *Lane) Jobs() *rows.Table[jobs.Row] { return &l.jobs }

// Gates returns the table of gates.
func (l *Lane) Gates() *rows.Table[gates.Row] { return &l.gates }

// Services returns the table of services.
func (l *Lane) Services() *rows.Table[svcst.Row] { return &l.services }

// Loads returns the table of server loads, keyed by server.
func (l *Lane) Loads() *rows.Table[loads.Row] { return &l.loads }

// Peers returns the table of the nodes that own servers, keyed by node.
func (l *Lane) Peers() *rows.Table[peers.Row] { return &l.peers }

// View returns the view that this tick uses.
func (l *Lane) View() *view.View { return l.view }

// Timers returns the timer heap.
func (l *Lane) Timers() *timers.Heap { return &l.timers }

// Random returns a random number.
func (l *Lane) Random() uint64 { return rand.Uint64() }

// Run runs ticks until ctx is done and returns its error.
func (l *Lane) Run(ctx context.Context) error {
	var items []any
	for ctx.Err() == nil {
		items = l.mailbox.Wait(ctx, l.maxWait(), items[:0])
		l.Tick(items)
	}
	return ctx.Err()
}

// maxWait returns how long Run may wait for messages.
func (l *Lane) maxWait() time.Duration {
	if l.tickAgain {
		return 0
	}
	next, ok := l.timers.Next()
	if !ok {
		return maxIdleWait
	}
	return min(max(next-l.clock.Now(), 0)+time.Microsecond, maxIdleWait)
}

// Tick handles a batch of messages, runs the systems once and flushes the outbox.
func (l *Lane) Tick(items []any) {
	l.tickAgain = false
	l.view = l.publishedView.Load()
	now := l.clock.Now()
	for _, m := range items {
		l.handle(m)
	}
	l.collectDue(now)
	for _, s := range l.systems {
		s.Run(l, now)
	}
	l.flush()
	l.clearTick()
	if now-l.lastReport >= reportInterval || l.view.PlacementVersion() != l.reportedPlacement {
		l.lastReport = now
		l.report()
	}
}

// handle moves one message into the tables or the event lists.
func (l *Lane) handle(m any) {
	switch m := m.(type) {
	case *query.Row:
		id, q := l.queries.Add("")
		*q = *m
		l.newQueries = append(l.newQueries, id)
	case *lagoon.ShardResponseBatch:
		if m.StartID() == l.view.StartID() {
			l.responses = append(l.responses, m.Responses()...)
		}
	case *lagoon.ShardRequestBatch:
		l.batches = append(l.batches, m)
	case *lagoon.ShardRequestCancel:
		l.cancels = append(l.cancels, m)
	case *lagoon.ClaimResponse:
		l.claimResponses = append(l.claimResponses, m)
	case *jobResult:
		l.handleJobEnd(m)
	}
}

func (l *Lane) handleJobEnd(m *jobResult) {
	j, ok := l.jobs.Resolve(m.job)
	if !ok {
		return
	}
	j.SetReply(m.reply)
	j.SetDuration(m.duration)
	l.endedJobs = append(l.endedJobs, m.job)
}

func (l *Lane) collectDue(now time.Duration) {
	for {
		kind, id, ok := l.timers.Pop(now)
		if !ok {
			return
		}
		l.dueRows[kind] = append(l.dueRows[kind], id)
	}
}

// clearTick clears the event lists, except for responses and batches, which flush
// may have filled for the next tick.
func (l *Lane) clearTick() {
	l.newQueries = l.newQueries[:0]
	l.toPlan = l.toPlan[:0]
	l.toSend = l.toSend[:0]
	l.toFinish = l.toFinish[:0]
	l.cancels = l.cancels[:0]
	l.claimResponses = l.claimResponses[:0]
	l.endedJobs = l.endedJobs[:0]
	l.toLaunch = l.toLaunch[:0]
	for i := range l.dueRows {
		l.dueRows[i] = l.dueRows[i][:0]
	}
}
