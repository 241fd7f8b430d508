// Package gather collects the outcomes of legs into their queries.
//
// # Usage
//
//	systems = append(systems, &gather.System{})
//
// It writes queries, legs, loads and the latencies of the service table. A leg
// that surely did not run, or that may run twice, is sent to another replica
// while the retry budget and the deadline allow. Late and repeated outcomes are
// ignored: a shard is counted once.
package gather

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/legs"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/svcst"
	"github.com/lagoontrail/lagoon/internal/trfc/route"
)

// Bounds of sending again.
const (
	maxTries    = 4                    // requests for one shard
	maxRestarts = 2                    // times a query starts over on another snapshot
	minLeft     = 2 * time.Millisecond // time left below which nothing is sent again
)

// Settings of the record of recent latencies, in microseconds.
const (
	windows     = 8
	slowest     = 10_000_000
	digits      = 2
	rotateEvery = time.Second
)

// Bounds of the estimate while few latencies are known: it is computed at every
// early-th latency of the first window, and is at most capMedians medians, since
// a few stragglers among few latencies would raise the quantile to theirs.
const (
	early      = 16
	capMedians = 3
)

// budgetShare is the share of the hedge budget that ordinary slow legs may use
// up; the rest is for stragglers. It sets the quantile after which a leg is
// hedged.
const budgetShare = 0.6

// System collects outcomes. The zero value works; it keeps a buffer.
type System struct {
	servers route.Chooser
}

// Name returns the system's name.
func (*System) Name() string { return "gather" }

// Run collects the outcomes that arrived.
func (s *System) Run(l *lane.Lane, now time.Duration) {
	for _, r := range l.TakeResults() {
		id := lagoon.RowID(r.ID())
		leg, ok := l.Legs().Resolve(id)
		if !ok || leg.Ended() {
			continue
		}
		q, ok := l.Queries().Resolve(leg.Query())
		if !ok || q.State() != qrys.Running {
			continue
		}
		leg.SetEnded(true)
		s.learn(l, leg, r, now)
		s.collect(l, leg, q, r, now)
	}
}

// learn keeps what an outcome tells of the server's load and latency.
func (*System) learn(l *lane.Lane, leg *legs.Row, r lagoon.LegResult, now time.Duration) {
	load := l.Loads().Ensure(leg.Server())
	load.SetOutstanding(max(0, load.Outstanding()-1))
	owner := l.Peers().Ensure(leg.Owner())
	if r.Status() != lagoon.StatusNotSent {
		owner.SetAnswered(now)
		owner.SetSuspectUntil(0)
	}
	if r.Limit() == 0 {
		return
	}
	load.SetTold(r.Load())
	load.SetLimit(r.Limit())
	load.SetLatency(r.Mean())
	load.SetHeard(now)
}

func (s *System) collect(l *lane.Lane, leg *legs.Row, q *qrys.Row, r lagoon.LegResult, now time.Duration) {
	id, shard := leg.Query(), leg.Shard()
	q.Running()[shard]--
	state := l.Services().Ensure(q.Query().Service())
	if r.Status() == lagoon.StatusOK && !leg.Hedge() {
		record(state, hedgePercent(l, q), now-leg.Sent(), now)
	}
	if r.Status() == lagoon.StatusUnknown {
		q.SetUnsure(true)
	}
	if q.Done()[shard] {
		return
	}
	switch r.Status() {
	case lagoon.StatusOK:
		s.cover(l, q, shard, r, now)
	case lagoon.StatusVersionGone:
		s.otherSnapshot(l, id, q, shard, r, now)
	default:
		s.otherReplica(l, id, q, shard, leg.Hedge(), r, now)
	}
	if q.Open() == 0 && q.State() == qrys.Running {
		q.SetState(qrys.Ended)
		l.Finish(id)
	}
}

// record adds one latency to the recent ones.
func record(state *svcst.Row, percent float64, took, now time.Duration) {
	h := state.Recent()
	if h == nil {
		h = hdr.NewWindowed(windows, 1, slowest, digits)
		state.SetRecent(h)
		state.SetRotated(now)
	}
	_ = h.Current.RecordValue(min(took.Microseconds(), slowest))
	rotate := now-state.Rotated() >= rotateEvery
	if !rotate && (state.Typical() > 0 || h.Current.TotalCount()%early != 0) {
		return
	}
	merged := h.Merge()
	typical := min(merged.ValueAtQuantile(100-budgetShare*percent), capMedians*merged.ValueAtQuantile(50))
	state.SetTypical(time.Duration(typical) * time.Microsecond)
	if rotate {
		state.SetRotated(now)
		h.Rotate()
	}
}

// hedgePercent returns the budget of hedges of a query's service.
func hedgePercent(l *lane.Lane, q *qrys.Row) float64 {
	if svc, ok := l.View().Service(q.Query().Service()); ok {
		return svc.Rule().HedgePercent()
	}
	return 0
}

// cover stores a shard's answer and withdraws its other legs. A first leg that
// is withdrawn counts with the time it took so far; without it, hedging would
// make legs look faster than they are and so cause more hedging.
func (*System) cover(l *lane.Lane, q *qrys.Row, shard int, r lagoon.LegResult, now time.Duration) {
	state := l.Services().Ensure(q.Query().Service())
	q.Done()[shard] = true
	q.Parts()[shard] = r.Body()
	q.SetOpen(q.Open() - 1)
	q.SetCovered(q.Covered() + 1)
	for _, id := range q.Legs() {
		if leg, ok := l.Legs().Resolve(id); ok && leg.Shard() == shard && !leg.Ended() {
			l.SendCancel(leg.OwnerAddr(), uint64(id))
			if !leg.Hedge() {
				record(state, hedgePercent(l, q), now-leg.Sent(), now)
			}
		}
	}
}

// otherReplica sends a leg again if that is safe and worth it.
func (s *System) otherReplica(l *lane.Lane, id lagoon.RowID, q *qrys.Row, shard int, hedge bool, r lagoon.LegResult, now time.Duration) {
	state := l.Services().Ensure(q.Query().Service())
	if r.Status() == lagoon.StatusRefused && !hedge {
		q.SetRefused(true)
		state.SetRefused(now)
	}
	if q.Running()[shard] > 0 {
		return
	}
	// A leg that its owner did not send put no load on a server, so only the
	// others take from the budget.
	free := r.Status() == lagoon.StatusNotSent
	if s.mayRepeat(q, shard, r, now) && (free || state.RetriesRef().Take()) {
		if server, ok := s.servers.Choose(l, q, shard); ok {
			q.SetRetries(q.Retries() + 1)
			s.servers.Start(l, id, q, shard, server, false)
			l.Note("leg_retried", server.Name(), q.Query().ID(), "after "+r.Status().String()+": "+r.Detail())
			return
		}
	}
	giveUp(q, shard, r.Status().String()+": "+r.Detail())
}

func (*System) mayRepeat(q *qrys.Row, shard int, r lagoon.LegResult, now time.Duration) bool {
	safe := q.Query().Idempotent() || r.Status().NotRun()
	return safe && q.Tries()[shard] < maxTries && q.Deadline()-now >= minLeft
}

// otherSnapshot sends a leg to a replica that still holds the snapshot, or
// starts the query over on another one.
func (s *System) otherSnapshot(l *lane.Lane, id lagoon.RowID, q *qrys.Row, shard int, r lagoon.LegResult, now time.Duration) {
	if q.Running()[shard] > 0 {
		return
	}
	if server, ok := s.servers.Choose(l, q, shard); ok && s.mayRepeat(q, shard, r, now) {
		q.SetRetries(q.Retries() + 1)
		s.servers.Start(l, id, q, shard, server, false)
		l.Note("leg_retried", server.Name(), q.Query().ID(), "the server before no longer holds the snapshot")
		return
	}
	exhausted := q.Restarts() >= maxRestarts || q.Deadline()-now < minLeft
	if exhausted || (!q.Query().Idempotent() && (q.Covered() > 0 || q.Unsure() || anyRunning(q))) {
		giveUp(q, shard, r.Status().String()+": "+r.Detail())
		return
	}
	s.restart(l, id, q)
}

func anyRunning(q *qrys.Row) bool {
	return slices.ContainsFunc(q.Running(), func(n int) bool { return n > 0 })
}

// restart plans the query anew without the snapshot that is gone. Outcomes of
// the legs sent so far are no longer wanted.
func (*System) restart(l *lane.Lane, id lagoon.RowID, q *qrys.Row) {
	l.Note("query_restarted", q.Query().Service(), q.Query().ID(), "no replica of a shard holds the snapshot any more")
	q.SetRestarts(q.Restarts() + 1)
	q.SetAvoid(append(q.Avoid(), q.Snapshot()))
	for _, legID := range q.Legs() {
		leg, ok := l.Legs().Resolve(legID)
		if !ok {
			continue
		}
		if !leg.Ended() {
			load := l.Loads().Ensure(leg.Server())
			load.SetOutstanding(max(0, load.Outstanding()-1))
			q.SetUnsure(true)
			l.SendCancel(leg.OwnerAddr(), uint64(legID))
		}
		l.Legs().Remove(legID)
	}
	q.SetLegs(nil)
	l.Plan(id)
}

func giveUp(q *qrys.Row, shard int, reason string) {
	q.Done()[shard] = true
	q.Reasons()[shard] = reason
	q.SetOpen(q.Open() - 1)
}
