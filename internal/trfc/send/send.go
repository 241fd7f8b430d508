// Package send hands legs to the owners of their servers.
//
// # Usage
//
//	systems = append(systems, &send.System{})
//
// Legs of one query that go to one owner travel as one message. It reads
// queries and legs; it writes the send times and the due times.
package send

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/due"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/legs"
	"github.com/lagoontrail/lagoon/internal/qrys"
)

// firstHedge is the wait before a hedge while no latency is known.
const firstHedge = 50 * time.Millisecond

// meansToWait is the wait before a hedge, in mean latencies of the server, while
// the latencies of the service's legs are not known.
const meansToWait = 3

// System sends legs. The zero value works; it keeps buffers.
type System struct {
	open []pending
}

// pending is a batch under construction.
type pending struct {
	query lagoon.RowID
	addr  string
	batch *lagoon.LegBatch
}

// Name returns the system's name.
func (*System) Name() string { return "send" }

// Run sends the legs listed in this tick.
func (s *System) Run(l *lane.Lane, now time.Duration) {
	s.open = s.open[:0]
	for _, id := range l.ToSend() {
		leg, ok := l.Legs().Resolve(id)
		if !ok {
			continue
		}
		q, ok := l.Queries().Resolve(leg.Query())
		if !ok || q.State() != qrys.Running {
			continue
		}
		s.add(l, id, leg, q, now)
	}
	for _, p := range s.open {
		l.SendBatch(p.addr, p.batch)
	}
}

func (s *System) add(l *lane.Lane, id lagoon.RowID, leg *legs.Row, q *qrys.Row, now time.Duration) {
	leg.SetSent(now)
	q.SetSent(q.Sent() + 1)
	var w lagoon.Leg
	w.SetID(uint64(id))
	w.SetServer(leg.Server())
	w.SetShard(q.Shards()[leg.Shard()])
	w.SetHedge(leg.Hedge())
	b := s.batch(l, leg, q, now)
	b.SetLegs(append(b.Legs(), w))
	if q.Query().Idempotent() {
		l.WakeAt(now+hedgeWait(l, leg, q), due.Leg, id)
	}
}

func hedgeWait(l *lane.Lane, leg *legs.Row, q *qrys.Row) time.Duration {
	if t := l.Services().Ensure(q.Query().Service()).Typical(); t > 0 {
		return t
	}
	if s, ok := l.View().Server(leg.Server()); ok && s.Latency() > 0 {
		return min(firstHedge, meansToWait*s.Latency())
	}
	return firstHedge
}

// batch returns the open batch for the leg's query and owner.
func (s *System) batch(l *lane.Lane, leg *legs.Row, q *qrys.Row, now time.Duration) *lagoon.LegBatch {
	for _, p := range s.open {
		if p.query == leg.Query() && p.addr == leg.OwnerAddr() {
			return p.batch
		}
	}
	b := &lagoon.LegBatch{}
	b.SetFrom(l.View().Self())
	b.SetStart(l.View().Start())
	b.SetLane(l.Number())
	b.SetService(q.Query().Service())
	b.SetSnapshot(q.Snapshot())
	b.SetBody(q.Query().Body())
	b.SetTimeout(q.Deadline() - now)
	b.SetIdempotent(q.Query().Idempotent())
	if svc, ok := l.View().Service(q.Query().Service()); ok {
		b.SetWeight(svc.Rule().Weight())
	}
	s.open = append(s.open, pending{leg.Query(), leg.OwnerAddr(), b})
	return b
}
