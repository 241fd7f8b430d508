// Package gather merges shard responses into their queries.
//
// # Usage
//
//	systems = append(systems, &gather.System{})
//
// It writes queries, shard requests, loads and the latencies of the service table.
// A failed request that did not run, or that may run more than once, is retried on
// another replica while the retry budget and the deadline allow. Late and duplicate
// responses are ignored, so that each shard is counted once.
package gather

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/shreqs"
	"github.com/lagoontrail/lagoon/internal/svcst"
	"github.com/lagoontrail/lagoon/internal/trfc/route"
)

// Limits on retries.
const (
	maxAttemptsPerShard = 4                    // includes the first attempt
	maxRestarts         = 2                    // restarts of a query on another snapshot
	minTimeLeft         = 2 * time.Millisecond // time to the deadline below which no retry starts
)

// Parameters of the latency histogram of a service.
const (
	latencyWindows   = 8
	maxLatencyMicros = 10_000_000
	latencyDigits    = 2 // significant digits
	rotateInterval   = time.Second
)

// Parameters of the typical latency. Until the first rotation it is recomputed
// after every earlySampleInterval samples. It is at most maxTypicalMedians medians,
// because a few stragglers among few samples dominate the quantile.
const (
	earlySampleInterval = 16
	maxTypicalMedians   = 3
)

// hedgeQuantileShare is the share of the hedge budget for ordinary slow requests;
// the rest is left for stragglers. It determines the latency quantile after which
// a request is hedged.
const hedgeQuantileShare = 0.6

// System handles shard responses. The zero value is ready to use.
type System struct {
	servers route.Selector
}

// Name returns the system's name.
func (*System) Name() string { return "gather" }

// Run handles the shard responses that arrived in this tick.
func (s *System) Run(l *lane.Lane, now time.Duration) {
	for _, r := range l.TakeResponses() {
		id := lagoon.RowID(r.ID())
		req, ok := l.ShardRequests().Resolve(id)
		if !ok || req.Ended() {
			continue
		}
		q, ok := l.Queries().Resolve(req.Query())
		if !ok || q.State() != query.Running {
			continue
		}
		req.SetEnded(true)
		s.recordServer(l, req, r, now)
		s.collect(l, req, q, r, now)
	}
}

// recordServer records the server load and latency reported in a response, and
// that the owner responds.
func (*System) recordServer(l *lane.Lane, req *shreqs.Row, r lagoon.ShardResponse, now time.Duration) {
	load := l.Loads().Ensure(req.Server())
	load.SetOutstanding(max(0, load.Outstanding()-1))
	owner := l.Peers().Ensure(req.Owner())
	if r.Status() != lagoon.StatusNotSent {
		owner.SetRespondedAt(now)
		owner.SetSuspectUntil(0)
	}
	if r.Limit() == 0 {
		return
	}
	load.SetReportedLoad(r.Load())
	load.SetReportedLimit(r.Limit())
	load.SetMeanLatency(r.MeanLatency())
	load.SetReportedAt(now)
}

func (s *System) collect(l *lane.Lane, req *shreqs.Row, q *query.Row, r lagoon.ShardResponse, now time.Duration) {
	id, shard := req.Query(), req.ShardIndex()
	q.Inflight()[shard]--
	state := l.Services().Ensure(q.Query().Service())
	if r.Status() == lagoon.StatusOK && !req.Hedge() {
		recordLatency(state, hedgePercent(l, q), now-req.SentAt(), now)
	}
	if r.Status() == lagoon.StatusUnknown {
		q.SetMayHaveRun(true)
	}
	if q.Resolved()[shard] {
		return
	}
	switch r.Status() {
	case lagoon.StatusOK:
		s.resolveShard(l, q, shard, r, now)
	case lagoon.StatusSnapshotGone:
		s.retrySnapshot(l, id, q, shard, r, now)
	default:
		s.retryReplica(l, id, q, shard, req.Hedge(), r, now)
	}
	if q.Unresolved() == 0 && q.State() == query.Running {
		q.SetState(query.Ended)
		l.ScheduleFinish(id)
	}
}

// recordLatency adds a sample to the latency histogram of a service and, when due,
// recomputes the typical latency. percent is the hedge budget.
func recordLatency(state *svcst.Row, percent float64, latency, now time.Duration) {
	h := state.Latencies()
	if h == nil {
		h = hdr.NewWindowed(latencyWindows, 1, maxLatencyMicros, latencyDigits)
		state.SetLatencies(h)
		state.SetTypicalAt(now)
	}
	_ = h.Current.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	rotate := now-state.TypicalAt() >= rotateInterval
	if !rotate && (state.TypicalLatency() > 0 || h.Current.TotalCount()%earlySampleInterval != 0) {
		return
	}
	merged := h.Merge()
	typical := min(merged.ValueAtQuantile(100-hedgeQuantileShare*percent), maxTypicalMedians*merged.ValueAtQuantile(50))
	state.SetTypicalLatency(time.Duration(typical) * time.Microsecond)
	if rotate {
		state.SetTypicalAt(now)
		h.Rotate()
	}
}

// hedgePercent returns the hedge budget of a query's service.
func hedgePercent(l *lane.Lane, q *query.Row) float64 {
	if svc, ok := l.View().Service(q.Query().Service()); ok {
		return svc.Rule().HedgePercent()
	}
	return 0
}

// resolveShard stores the response for a shard and cancels its other requests. A
// cancelled request that is not a hedge is recorded with the time elapsed so far:
// without it, hedging would lower the observed latencies and cause more hedging.
func (*System) resolveShard(l *lane.Lane, q *query.Row, shard int, r lagoon.ShardResponse, now time.Duration) {
	state := l.Services().Ensure(q.Query().Service())
	q.Resolved()[shard] = true
	q.Parts()[shard] = r.Body()
	q.SetUnresolved(q.Unresolved() - 1)
	q.SetCovered(q.Covered() + 1)
	for _, id := range q.Requests() {
		if req, ok := l.ShardRequests().Resolve(id); ok && req.ShardIndex() == shard && !req.Ended() {
			l.SendCancel(req.OwnerAddr(), uint64(id))
			if !req.Hedge() {
				recordLatency(state, hedgePercent(l, q), now-req.SentAt(), now)
			}
		}
	}
}

// retryReplica retries a failed request on another replica if that is safe and the
// retry budget allows it. Otherwise it abandons the shard: the answer will not cover
// it.
func (s *System) retryReplica(l *lane.Lane, id lagoon.RowID, q *query.Row, shard int, hedge bool, r lagoon.ShardResponse, now time.Duration) {
	state := l.Services().Ensure(q.Query().Service())
	if r.Status() == lagoon.StatusRefused && !hedge {
		q.SetOverloaded(true)
		state.SetRefusedAt(now)
	}
	if q.Inflight()[shard] > 0 {
		return
	}
	// A request that its owner did not send put no load on a server and is not
	// charged to the retry budget.
	free := r.Status() == lagoon.StatusNotSent
	if s.mayRetry(q, shard, r, now) && (free || state.RetryBudgetRef().Take()) {
		if server, ok := s.servers.Select(l, q, shard); ok {
			q.SetRetries(q.Retries() + 1)
			s.servers.AddRequest(l, id, q, shard, server, false)
			l.Record("leg_retried", server.Name(), q.Query().ID(), "after "+r.Status().String()+": "+r.Detail())
			return
		}
	}
	abandon(q, shard, r.Status().String()+": "+r.Detail())
}

func (*System) mayRetry(q *query.Row, shard int, r lagoon.ShardResponse, now time.Duration) bool {
	safe := q.Query().Idempotent() || r.Status().NotRun()
	return safe && q.Attempts()[shard] < maxAttemptsPerShard && q.Deadline()-now >= minTimeLeft
}

// retrySnapshot retries a request on a replica that still holds the snapshot, or
// restarts the query on another snapshot.
func (s *System) retrySnapshot(l *lane.Lane, id lagoon.RowID, q *query.Row, shard int, r lagoon.ShardResponse, now time.Duration) {
	if q.Inflight()[shard] > 0 {
		return
	}
	if server, ok := s.servers.Select(l, q, shard); ok && s.mayRetry(q, shard, r, now) {
		q.SetRetries(q.Retries() + 1)
		s.servers.AddRequest(l, id, q, shard, server, false)
		l.Record("leg_retried", server.Name(), q.Query().ID(), "the previous server no longer holds the snapshot")
		return
	}
	exhausted := q.Restarts() >= maxRestarts || q.Deadline()-now < minTimeLeft
	if exhausted || (!q.Query().Idempotent() && (q.Covered() > 0 || q.MayHaveRun() || anyRunning(q))) {
		abandon(q, shard, r.Status().String()+": "+r.Detail())
		return
	}
	s.restart(l, id, q)
}

func anyRunning(q *query.Row) bool {
	return slices.ContainsFunc(q.Inflight(), func(n int) bool { return n > 0 })
}

// restart schedules the query to be planned without the snapshot that is gone and
// cancels the requests sent so far.
func (*System) restart(l *lane.Lane, id lagoon.RowID, q *query.Row) {
	l.Record("query_restarted", q.Query().Service(), q.Query().ID(), "no replica of a shard holds the snapshot any more")
	q.SetRestarts(q.Restarts() + 1)
	q.SetExcluded(append(q.Excluded(), q.Snapshot()))
	for _, reqID := range q.Requests() {
		req, ok := l.ShardRequests().Resolve(reqID)
		if !ok {
			continue
		}
		if !req.Ended() {
			load := l.Loads().Ensure(req.Server())
			load.SetOutstanding(max(0, load.Outstanding()-1))
			q.SetMayHaveRun(true)
			l.SendCancel(req.OwnerAddr(), uint64(reqID))
		}
		l.ShardRequests().Remove(reqID)
	}
	q.SetRequests(nil)
	l.SchedulePlan(id)
}

func abandon(q *query.Row, shard int, reason string) {
	q.Resolved()[shard] = true
	q.MissingReasons()[shard] = reason
	q.SetUnresolved(q.Unresolved() - 1)
}
