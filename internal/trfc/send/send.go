// Package send sends shard requests to the owners of their servers.
//
// # Usage
//
//	systems = append(systems, &send.System{})
//
// Requests of one query to one owner are sent in one batch. It reads queries and
// shard requests; it writes the send times and the hedging timers.
package send

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/shreqs"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// defaultHedgeDelay is the hedging delay while no latency is known, and the longest
// one while the typical latency of the service is not known.
const defaultHedgeDelay = 50 * time.Millisecond

// hedgeDelayMeans is the hedging delay in mean latencies of the server, while the
// typical latency of the service is not known.
const hedgeDelayMeans = 3

// System sends shard requests. The zero value is ready to use.
type System struct {
	batches []openBatch
}

// openBatch is a batch to which requests may still be added.
type openBatch struct {
	query lagoon.RowID
	addr  string
	batch *lagoon.ShardRequestBatch
}

// Name returns the system's name.
func (*System) Name() string { return "send" }

// Run sends the shard requests scheduled in this tick.
func (s *System) Run(l *lane.Lane, now time.Duration) {
	s.batches = s.batches[:0]
	for _, id := range l.ToSend() {
		req, ok := l.ShardRequests().Resolve(id)
		if !ok {
			continue
		}
		q, ok := l.Queries().Resolve(req.Query())
		if !ok || q.State() != query.Running {
			continue
		}
		s.addToBatch(l, id, req, q, now)
	}
	for _, open := range s.batches {
		l.SendBatch(open.addr, open.batch)
	}
}

func (s *System) addToBatch(l *lane.Lane, id lagoon.RowID, req *shreqs.Row, q *query.Row, now time.Duration) {
	req.SetSentAt(now)
	q.SetRequestsSent(q.RequestsSent() + 1)
	var shardReq lagoon.ShardRequest
	shardReq.SetID(uint64(id))
	shardReq.SetServer(req.Server())
	shardReq.SetShard(q.Shards()[req.ShardIndex()])
	shardReq.SetHedge(req.Hedge())
	b := s.batchFor(l, req, q, now)
	b.SetRequests(append(b.Requests(), shardReq))
	if q.Query().Idempotent() {
		l.WakeAt(now+hedgeDelay(l, req, q), timers.HedgeDelay, id)
	}
}

// hedgeDelay returns the time after which a shard request may be hedged.
func hedgeDelay(l *lane.Lane, req *shreqs.Row, q *query.Row) time.Duration {
	if t := l.Services().Ensure(q.Query().Service()).TypicalLatency(); t > 0 {
		return t
	}
	if s, ok := l.View().Server(req.Server()); ok && s.MeanLatency() > 0 {
		return min(defaultHedgeDelay, hedgeDelayMeans*s.MeanLatency())
	}
	return defaultHedgeDelay
}

// batchFor returns the open batch for a request's query and owner.
func (s *System) batchFor(l *lane.Lane, req *shreqs.Row, q *query.Row, now time.Duration) *lagoon.ShardRequestBatch {
	for _, open := range s.batches {
		if open.query == req.Query() && open.addr == req.OwnerAddr() {
			return open.batch
		}
	}
	b := &lagoon.ShardRequestBatch{}
	b.SetFrom(l.View().Self())
	b.SetStartID(l.View().StartID())
	b.SetLane(l.Number())
	b.SetService(q.Query().Service())
	b.SetSnapshot(q.Snapshot())
	b.SetBody(q.Query().Body())
	b.SetTimeout(q.Deadline() - now)
	b.SetIdempotent(q.Query().Idempotent())
	if svc, ok := l.View().Service(q.Query().Service()); ok {
		b.SetWeight(svc.Rule().Weight())
	}
	s.batches = append(s.batches, openBatch{req.Query(), req.OwnerAddr(), b})
	return b
}
