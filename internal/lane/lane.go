// Package lane holds the traffic tables that one goroutine owns, and the loop
// that runs the traffic systems over them.
//
// # Usage
//
//	l, stop := lane.New(box)
//	defer stop()                   // waits for requests to servers to end
//	l.SetClock(clock)              // and the other collaborators
//	l.SetSystems(traffic.Systems())
//	err := l.Run(ctx)
//
// A tick happens when a message arrives or the nearest due time comes. It takes
// the messages into the tables and the lists of what is new, runs the systems
// in their declared order, and sends what they put into the outbox. Other
// goroutines reach a lane only through its mailbox. The lane reads the view
// that control published, once per tick.
package lane

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/due"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/legs"
	"github.com/lagoontrail/lagoon/internal/loads"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/peers"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/rows"
	"github.com/lagoontrail/lagoon/internal/svcst"
	"github.com/lagoontrail/lagoon/internal/view"
)

//go:generate go run ../accgen -dir . -rows

// idleWait bounds the sleep of a lane without due times.
const idleWait = time.Second

// reportInterval is the time between two reports of gates to control.
const reportInterval = 100 * time.Millisecond

// Lane owns the tables of one traffic goroutine.
type Lane struct {
	number   int                        // the lane's number at its node, from 0
	siblings []*mbox.Box                // the mailboxes of all lanes of the node
	control  *mbox.Box                  // the mailbox of control
	clock    lagoon.Clock               // the clock
	current  *atomic.Pointer[view.View] // where control publishes the view
	upstream lagoon.Upstream            // sends requests to servers
	link     lagoon.PeerLink            // sends messages to other nodes
	journal  lagoon.Journal             // keeps decisions
	picker   lagoon.Picker              // chooses replicas
	hedger   lagoon.HedgePolicy         // decides on hedges
	ramper   lagoon.RampPolicy          // decides how much a cold server gets
	systems  []lagoon.System[*Lane]     // the systems, in the order they run
	ejection string                     // how an ejected server returns: "probe", "timer" or "escalating"
	fanOut   bool                       // whether all limits and policies are off, for the baseline

	box     *mbox.Box
	view    *view.View
	queries rows.Table[qrys.Row]
	legs    rows.Table[legs.Row]
	jobs    rows.Table[jobs.Row]
	gates   rows.Table[gates.Row]
	svcs    rows.Table[svcst.Row]
	loads   rows.Table[loads.Row]
	peers   rows.Table[peers.Row]
	due     due.Heap

	fresh    []lagoon.RowID
	planned  []lagoon.RowID
	ready    []lagoon.RowID
	finished []lagoon.RowID
	results  []lagoon.LegResult
	batches  []*lagoon.LegBatch
	cancels  []*lagoon.LegCancel
	told     []*lagoon.ClaimTold
	ended    []lagoon.RowID
	touched  []lagoon.RowID
	dueRows  [4][]lagoon.RowID

	out      outbox
	again    bool
	reported time.Duration
	// placement is the version under which the gates were last reported.
	placement uint64
	ctx       context.Context
	running   sync.WaitGroup
	cancel    context.CancelFunc
}

// jobEnd is the message that a request to a server ended.
type jobEnd struct {
	job   lagoon.RowID
	reply lagoon.Reply
	took  time.Duration
}

// New returns a lane that receives through box. The clean-up function cancels
// the requests to servers that still run and waits for them; call it after Run
// has returned.
func New(box *mbox.Box) (*Lane, func()) {
	l := &Lane{box: box}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, func() {
		l.cancel()
		l.running.Wait()
	}
}

// Queries returns the table of queries.
func (l *Lane) Queries() *rows.Table[qrys.Row] { return &l.queries }

// Legs returns the table of legs.
func (l *Lane) Legs() *rows.Table[legs.Row] { return &l.legs }

// Jobs returns the table of jobs.
func (l *Lane) Jobs() *rows.Table[jobs.Row] { return &l.jobs }

// Gates returns the table of gates.
func (l *Lane) Gates() *rows.Table[gates.Row] { return &l.gates }

// Services returns the table of services.
func (l *Lane) Services() *rows.Table[svcst.Row] { return &l.svcs }

// Loads returns the table of server loads.
func (l *Lane) Loads() *rows.Table[loads.Row] { return &l.loads }

// Peers returns the table of owners.
func (l *Lane) Peers() *rows.Table[peers.Row] { return &l.peers }

// View returns the view of this tick.
func (l *Lane) View() *view.View { return l.view }

// Due returns the due times.
func (l *Lane) Due() *due.Heap { return &l.due }

// Seed returns a fresh random number.
func (l *Lane) Seed() uint64 { return rand.Uint64() }

// Run ticks until ctx ends.
func (l *Lane) Run(ctx context.Context) error {
	var items []any
	for ctx.Err() == nil {
		items = l.box.Wait(ctx, l.wait(), items[:0])
		l.Tick(items)
	}
	return ctx.Err()
}

// wait returns how long the lane may sleep.
func (l *Lane) wait() time.Duration {
	if l.again {
		return 0
	}
	next, ok := l.due.Next()
	if !ok {
		return idleWait
	}
	return min(max(next-l.clock.Now(), 0)+time.Microsecond, idleWait)
}

// Tick takes the messages in, runs the systems once and sends the outbox.
func (l *Lane) Tick(items []any) {
	l.again = false
	l.view = l.current.Load()
	now := l.clock.Now()
	for _, m := range items {
		l.take(m)
	}
	l.takeDue(now)
	for _, s := range l.systems {
		s.Run(l, now)
	}
	l.flush()
	l.clear()
	if now-l.reported >= reportInterval || l.view.Placement() != l.placement {
		l.reported = now
		l.report()
	}
}

// take moves one message into the tables.
func (l *Lane) take(m any) {
	switch m := m.(type) {
	case *qrys.Row:
		id, q := l.queries.Add("")
		*q = *m
		l.fresh = append(l.fresh, id)
	case *lagoon.LegResults:
		if m.Start() == l.view.Start() {
			l.results = append(l.results, m.Results()...)
		}
	case *lagoon.LegBatch:
		l.batches = append(l.batches, m)
	case *lagoon.LegCancel:
		l.cancels = append(l.cancels, m)
	case *lagoon.ClaimTold:
		l.told = append(l.told, m)
	case *jobEnd:
		l.takeEnd(m)
	}
}

func (l *Lane) takeEnd(m *jobEnd) {
	j, ok := l.jobs.Resolve(m.job)
	if !ok {
		return
	}
	j.SetReply(m.reply)
	j.SetTook(m.took)
	l.ended = append(l.ended, m.job)
}

func (l *Lane) takeDue(now time.Duration) {
	for {
		kind, id, ok := l.due.Pop(now)
		if !ok {
			return
		}
		l.dueRows[kind] = append(l.dueRows[kind], id)
	}
}

// clear empties the lists of what was new in this tick, but for those that the
// outbox filled for the next one.
func (l *Lane) clear() {
	l.fresh = l.fresh[:0]
	l.planned = l.planned[:0]
	l.ready = l.ready[:0]
	l.finished = l.finished[:0]
	l.cancels = l.cancels[:0]
	l.told = l.told[:0]
	l.ended = l.ended[:0]
	l.touched = l.touched[:0]
	for i := range l.dueRows {
		l.dueRows[i] = l.dueRows[i][:0]
	}
}
