// Package loop holds the traffic tables of a node that sends to servers itself,
// and the event loop that runs the traffic systems over them.
//
// # Usage
//
//	l, stop := loop.New(mailbox)
//	defer stop()                   // waits for attempts to end
//	l.SetClock(clock)              // and the other dependencies
//	l.SetSystems(trfc.Systems())
//	err := l.Run(ctx)
//
// One goroutine owns the tables. A tick happens when a message arrives or the
// next timer expires: it loads the view that control published, moves the
// messages into the tables and runs the systems in order. Each attempt runs on
// its own goroutine and posts its result to the mailbox.
package loop

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/cases"
	"github.com/lagoontrail/lagoon/internal/direct/demand"
	"github.com/lagoontrail/lagoon/internal/direct/flows"
	"github.com/lagoontrail/lagoon/internal/direct/health"
	"github.com/lagoontrail/lagoon/internal/direct/leaves"
	"github.com/lagoontrail/lagoon/internal/direct/levels"
	"github.com/lagoontrail/lagoon/internal/direct/limits"
	"github.com/lagoontrail/lagoon/internal/direct/loads"
	"github.com/lagoontrail/lagoon/internal/direct/pauses"
	"github.com/lagoontrail/lagoon/internal/direct/ratios"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/split"
	"github.com/lagoontrail/lagoon/internal/direct/stats"
	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/internal/direct/tokens"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
	"github.com/lagoontrail/lagoon/internal/direct/trips"
	"github.com/lagoontrail/lagoon/internal/direct/usage"
	"github.com/lagoontrail/lagoon/internal/direct/usual"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/rows"
	"github.com/lagoontrail/lagoon/internal/timers"
)

//go:generate go run ../../accgen -dir . -rows

// maxIdleWait is the longest wait for messages when no timer is set.
const maxIdleWait = time.Second

// Loop owns the tables of one traffic goroutine.
type Loop struct {
	clock         lagoon.Clock                                               // the clock
	publishedView *atomic.Pointer[view.View]                                 // the pointer through which control publishes the view
	transport     lagoon.Transport                                           // the transport to servers
	journal       lagoon.Journal                                             // the journal of decisions
	hedgePolicy   lagoon.HedgePolicy                                         // the policy that decides on hedges
	partialPolicy lagoon.PartialPolicy                                       // the policy that decides on partial responses
	replicaPolicy lagoon.ReplicaPolicy                                       // the policy that scores replicas
	retryPolicy   lagoon.RetryPolicy                                         // the policy that decides on retries of refused requests
	systems       []lagoon.System[*Loop]                                     // the systems, in execution order
	extraRatio    float64                                                    // the retries and hedges that all nodes together may send to a service, as a share of its requests
	extraSlack    float64                                                    // the retries and hedges that all nodes together may send to a service in a window, beyond that share
	starter       func(id lagoon.RowID, a lagoon.Attempt) context.CancelFunc // the function that starts an attempt; nil starts a goroutine that uses the transport
	random        func() float64                                             // the source of random numbers in [0, 1); nil uses math/rand/v2
	drainTime     time.Duration                                              // for which a server serves after it said that it leaves; 0 means the default
	extraWindow   time.Duration                                              // the length of the window that ExtraSlack applies to
	view          *view.View                                                 // the view in force in this tick
	controlTick   *atomic.Int64                                              // when the last tick of control began, in nanoseconds of the clock; nil if it is not known
	askTokens     func(m any) bool                                           // the function that passes a request for quota tokens to control; nil grants none
	tokensAskedAt time.Duration                                              // when quota tokens were last asked for
	tokenRecheck  time.Duration                                              // the time of the timer that asks for quota tokens next; 0 or past for none
	quotaGrants   []*lagoon.QuotaGrant                                       // the grants of quota tokens received in this tick
	shortOfTokens []string                                                   // the organisations that may need quota tokens
	limitNews     []*lagoon.LimitReport                                      // what other nodes said of the limits of servers, received in this tick
	caseNews      []*lagoon.CaseReport                                       // what other nodes said of requests under which servers ended, received in this tick
	tellControl   func(m any) bool                                           // the function that passes what attempts showed of servers and requests to control; nil tells nobody
	costModel     lagoon.CostModel                                           // the model of the work of requests; nil turns it off
	tally         *tally.Tally                                               // the responses by version in the open roll-outs; nil if the deployment has none
	splitView     *view.View                                                 // the view whose roll-outs are counted

	arrived       []lagoon.RowID                          // the requests that arrived in this tick
	disconnected  []lagoon.RowID                          // the requests whose caller disconnected in this tick
	completed     []lagoon.RowID                          // the attempts that ended in this tick
	changed       []lagoon.RowID                          // the requests whose shards changed in this tick
	decided       []lagoon.RowID                          // the requests whose response was decided in this tick
	queue         []lagoon.RowID                          // the shards with a pending attempt
	requestByChan map[chan<- lagoon.Response]lagoon.RowID // the requests by response channel

	admissionPolicy lagoon.AdmissionPolicy // the policy that decides on admission under overload; nil admits all requests

	mailbox    *mbox.Mailbox
	requests   rows.Table[reqs.Row]
	shards     rows.Table[shards.Row]
	attempts   rows.Table[tries.Row]
	health     rows.Table[health.Row]
	leaves     rows.Table[leaves.Row]
	pauses     rows.Table[pauses.Row]
	routeStats rows.Table[stats.Row]
	budgets    rows.Table[tokens.Row]
	limits     rows.Table[limits.Row]
	cases      rows.Table[cases.Row]
	usage      rows.Table[usage.Row]
	flows      rows.Table[flows.Row]
	trips      rows.Table[trips.Row]
	splits     rows.Table[split.Row]
	usual      rows.Table[usual.Row]
	ratios     ratios.Histogram
	timers     timers.Heap
	dueRows    [4][]lagoon.RowID
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	loads      rows.Table[loads.Row]
	demand     rows.Table[demand.Row]
	levels     rows.Table[levels.Row]
}

// attemptDone is the message that an attempt has ended.
type attemptDone struct {
	attempt lagoon.RowID
	result  lagoon.AttemptResult
	elapsed time.Duration
}

// AttemptDone returns the message that an attempt has ended.
func AttemptDone(id lagoon.RowID, result lagoon.AttemptResult, elapsed time.Duration) any {
	return &attemptDone{attempt: id, result: result, elapsed: elapsed}
}

// CallerDisconnected returns the message that the caller of a request disconnected.
// The request is identified by its response channel.
func CallerDisconnected(ch chan<- lagoon.Response) any { return callerDisconnected{ch} }

type callerDisconnected struct{ responseChan chan<- lagoon.Response }

// New returns a traffic loop that receives messages through mailbox. The cleanup
// function cancels the attempts in flight and waits for them; call it after Run
// has returned.
func New(mailbox *mbox.Mailbox) (*Loop, func()) {
	l := &Loop{mailbox: mailbox, requestByChan: map[chan<- lagoon.Response]lagoon.RowID{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, func() {
		l.cancel()
		l.running.Wait()
	}
}

// Requests returns the table of requests.
func (l *Loop) Requests() *rows.Table[reqs.Row] { return &l.requests }

// Shards returns the table of the requests' shards.
func (l *Loop) Shards() *rows.Table[shards.Row] { return &l.shards }

// Attempts returns the table of attempts.
func (l *Loop) Attempts() *rows.Table[tries.Row] { return &l.attempts }

// Health returns the table of server health.
func (l *Loop) Health() *rows.Table[health.Row] { return &l.health }

// Leaves returns the table of departures that servers announced in their responses.
func (l *Loop) Leaves() *rows.Table[leaves.Row] { return &l.leaves }

// Pauses returns the table of pauses that servers asked for in their responses.
func (l *Loop) Pauses() *rows.Table[pauses.Row] { return &l.pauses }

// Limits returns the table of limits that servers named for all nodes together.
func (l *Loop) Limits() *rows.Table[limits.Row] { return &l.limits }

// Cases returns the table of requests under which servers ended.
func (l *Loop) Cases() *rows.Table[cases.Row] { return &l.cases }

// RouteStats returns the table of route latency statistics.
func (l *Loop) RouteStats() *rows.Table[stats.Row] { return &l.routeStats }

// Budgets returns the table of retry budgets.
func (l *Loop) Budgets() *rows.Table[tokens.Row] { return &l.budgets }

// Usage returns the table of the organisations with a quota that send requests to this node, by
// name.
func (l *Loop) Usage() *rows.Table[usage.Row] { return &l.usage }

// CostRatios returns the ratios of measured to predicted costs.
func (l *Loop) CostRatios() *ratios.Histogram { return &l.ratios }

// Flows returns the table of the work that this node sends to each service.
func (l *Loop) Flows() *rows.Table[flows.Row] { return &l.flows }

// Trips returns the table of the round-trip times to each availability zone.
func (l *Loop) Trips() *rows.Table[trips.Row] { return &l.trips }

// Splits returns the table of services whose attempts are split between two versions.
func (l *Loop) Splits() *rows.Table[split.Row] { return &l.splits }

// Usual returns the table of the old versions' response times.
func (l *Loop) Usual() *rows.Table[usual.Row] { return &l.usual }

// Loads returns the table of the loads that servers reported.
func (l *Loop) Loads() *rows.Table[loads.Row] { return &l.loads }

// Demand returns the table of what the requests of each route ask of the servers.
func (l *Loop) Demand() *rows.Table[demand.Row] { return &l.demand }

// Levels returns the table of how much work is admitted to each pool of services.
func (l *Loop) Levels() *rows.Table[levels.Row] { return &l.levels }

// DueRows returns the rows of a kind whose timers have expired in this tick.
func (l *Loop) DueRows(kind int) []lagoon.RowID { return l.dueRows[kind] }

// WakeAt sets a timer of a kind, such as timers.Deadline, for a row.
func (l *Loop) WakeAt(at time.Duration, kind int, id lagoon.RowID) { l.timers.Add(at, kind, id) }

// MarkChanged records that the shards of a request changed.
func (l *Loop) MarkChanged(id lagoon.RowID) { l.changed = append(l.changed, id) }

// MarkDecided records that the response to a request is decided.
func (l *Loop) MarkDecided(id lagoon.RowID) { l.decided = append(l.decided, id) }

// Enqueue adds a shard with a pending attempt to the queue.
func (l *Loop) Enqueue(id lagoon.RowID) { l.queue = append(l.queue, id) }

// RandomFloat returns a random number in [0, 1).
func (l *Loop) RandomFloat() float64 {
	if l.random != nil {
		return l.random()
	}
	return rand.Float64()
}

// Run processes messages and timers until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	var items []any
	for ctx.Err() == nil {
		items = l.mailbox.Wait(ctx, l.maxWait(), items[:0])
		l.Tick(items)
		clear(items)
	}
	return ctx.Err()
}

// NextDue returns the time of the next timer, or false when none is set.
func (l *Loop) NextDue() (time.Duration, bool) { return l.timers.Next() }

// maxWait returns how long Run may wait for messages.
func (l *Loop) maxWait() time.Duration {
	next, ok := l.NextDue()
	if !ok {
		return maxIdleWait
	}
	return min(max(next-l.clock.Now(), 0)+time.Microsecond, maxIdleWait)
}

// Tick handles the messages and runs each system once.
func (l *Loop) Tick(items []any) {
	l.view = l.publishedView.Load()
	now := l.clock.Now()
	for _, m := range items {
		l.handle(m)
	}
	for {
		kind, id, ok := l.timers.Pop(now)
		if !ok {
			break
		}
		l.dueRows[kind] = append(l.dueRows[kind], id)
	}
	for _, s := range l.systems {
		s.Run(l, now)
	}
	l.arrived, l.disconnected, l.completed = l.arrived[:0], l.disconnected[:0], l.completed[:0]
	l.changed, l.decided = l.changed[:0], l.decided[:0]
	l.quotaGrants, l.limitNews, l.caseNews = l.quotaGrants[:0], l.limitNews[:0], l.caseNews[:0]
	for i := range l.dueRows {
		l.dueRows[i] = l.dueRows[i][:0]
	}
}

// handle applies one message to the tables.
func (l *Loop) handle(m any) {
	switch m := m.(type) {
	case *reqs.Row:
		id, req := l.requests.Add("")
		*req = *m
		l.requestByChan[req.ResponseChan()] = id
		l.arrived = append(l.arrived, id)
	case callerDisconnected:
		if id, ok := l.requestByChan[m.responseChan]; ok {
			l.disconnected = append(l.disconnected, id)
		}
	case *attemptDone:
		if attempt, ok := l.attempts.Resolve(m.attempt); ok {
			attempt.SetDone(true)
			attempt.SetResult(m.result)
			attempt.SetElapsed(m.elapsed)
			l.completed = append(l.completed, m.attempt)
		}
	case *lagoon.QuotaGrant:
		l.quotaGrants = append(l.quotaGrants, m)
	case *lagoon.LimitReport:
		l.limitNews = append(l.limitNews, m)
	case *lagoon.CaseReport:
		l.caseNews = append(l.caseNews, m)
	}
}

// RemoveRequest removes a request from its table.
func (l *Loop) RemoveRequest(id lagoon.RowID) {
	if req, ok := l.requests.Resolve(id); ok {
		delete(l.requestByChan, req.ResponseChan())
		l.requests.Remove(id)
	}
}

// RequestIDOf returns the ID of the request of an attempt, or an empty string if the
// request has ended.
func (l *Loop) RequestIDOf(attempt *tries.Row) string {
	req, ok := l.requests.Resolve(attempt.Request())
	if !ok {
		return ""
	}
	request := req.Request()
	return request.ID()
}

// StartAttempt starts an attempt on its own goroutine, which posts the result to
// the mailbox.
func (l *Loop) StartAttempt(id lagoon.RowID, attempt *tries.Row, a lagoon.Attempt) {
	if l.starter != nil {
		attempt.SetCancel(l.starter(id, a))
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, a.Timeout())
	attempt.SetCancel(cancel)
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		defer cancel()
		started := l.clock.Now()
		result := l.transport.Do(ctx, a)
		if err := l.mailbox.Post(l.ctx, AttemptDone(id, result, l.clock.Now()-started)); err != nil {
			return // the loop has stopped and the result is not needed
		}
	}()
}

// Record writes a decision to the journal.
func (l *Loop) Record(kind, subject, request, reason string) {
	if l.journal == nil {
		return
	}
	var d lagoon.Decision
	d.SetTime(l.clock.Wall())
	self := l.view.Self()
	d.SetNode(self.Name())
	d.SetKind(kind)
	d.SetSubject(subject)
	d.SetRequestID(request)
	d.SetReason(reason)
	l.journal.Record(d)
}
