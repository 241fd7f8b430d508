// Package hedger sends legs that run long a second time.
//
// # Usage
//
//	systems = append(systems, &hedger.System{})
//
// It reads legs and the service table; it writes queries, legs and the hedge
// budget. Only idempotent queries are hedged.
package hedger

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/due"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/legs"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/trfc/route"
)

// overloadMemory is how long a refusal stops hedges for its service.
const overloadMemory = 20 * time.Millisecond

// fullFor is how long a server that was told to be full counts as full; its
// owner refuses a hedge without a free slot in any case.
const fullFor = 10 * time.Millisecond

// Bounds of suspicion against an owner.
const (
	suspectTypicals = 3                      // times the usual time that a leg is overdue
	suspectLeast    = 25 * time.Millisecond  // the same, at least
	suspectFor      = 500 * time.Millisecond // until the owner is tried again
	maxRescues      = 4                      // requests for one shard
)

// System hedges legs. The zero value works; it keeps a buffer.
type System struct {
	servers route.Chooser
}

// Name returns the system's name.
func (*System) Name() string { return "hedger" }

// Run hedges the legs whose time has come.
func (s *System) Run(l *lane.Lane, now time.Duration) {
	if l.FanOut() {
		return
	}
	for _, id := range l.DueRows(due.Leg) {
		leg, ok := l.Legs().Resolve(id)
		if !ok || leg.Ended() {
			continue
		}
		q, ok := l.Queries().Resolve(leg.Query())
		if !ok || q.State() != qrys.Running || q.Done()[leg.Shard()] {
			continue
		}
		s.decide(l, id, leg, q, now)
	}
}

func (s *System) decide(l *lane.Lane, id lagoon.RowID, leg *legs.Row, q *qrys.Row, now time.Duration) {
	state := l.Services().Ensure(q.Query().Service())
	var v lagoon.HedgeView
	v.SetElapsed(now - leg.Sent())
	v.SetTypical(state.Typical())
	v.SetLeft(q.Deadline() - now)
	v.SetTokens(state.HedgesRef().Left())
	v.SetTries(q.Tries()[leg.Shard()])
	v.SetOverload(state.Refused() > 0 && now-state.Refused() < overloadMemory)
	hedge, wait := l.Hedger().Hedge(v)
	if wait > 0 {
		l.WakeAt(now+wait, due.Leg, id)
	}
	switch {
	case s.suspect(l, leg, state.Typical(), now):
		s.rescue(l, leg.Query(), q, leg, now)
	case hedge:
		s.hedge(l, leg.Query(), q, leg, now)
	}
}

// suspect reports whether the leg's owner has answered nothing at all since
// long before the leg was due.
func (*System) suspect(l *lane.Lane, leg *legs.Row, typical, now time.Duration) bool {
	if leg.OwnerAddr() == "" || now-leg.Sent() < max(suspectLeast, suspectTypicals*typical) {
		return false
	}
	p, ok := l.Peers().Find(leg.Owner())
	return !ok || p.Answered() < leg.Sent()
}

// rescue sends a leg of a suspected owner to another one. It takes from the
// retry budget, since the hedge budget is soon used up when an owner fails, and
// the suspicion may be wrong.
func (s *System) rescue(l *lane.Lane, id lagoon.RowID, q *qrys.Row, leg *legs.Row, now time.Duration) {
	p := l.Peers().Ensure(leg.Owner())
	if p.SuspectUntil() <= now {
		l.Note("owner_suspected", leg.Owner(), "", "it has answered nothing since a request that is long overdue; legs go elsewhere for a while")
	}
	p.SetSuspectUntil(now + suspectFor)
	shard, slow := leg.Shard(), leg.Server()
	if q.Running()[shard] > 1 || q.Tries()[shard] >= maxRescues {
		return
	}
	server, ok := s.servers.Choose(l, q, shard)
	if !ok || !l.Services().Ensure(q.Query().Service()).RetriesRef().Take() {
		return
	}
	q.SetRetries(q.Retries() + 1)
	s.servers.Start(l, id, q, shard, server, false)
	l.Note("leg_rescued", server.Name(), q.Query().ID(), "the owner of "+slow+" is silent")
}

func (s *System) hedge(l *lane.Lane, id lagoon.RowID, q *qrys.Row, leg *legs.Row, now time.Duration) {
	shard, slow := leg.Shard(), leg.Server()
	server, ok := s.servers.Choose(l, q, shard)
	if !ok {
		return
	}
	if load, known := l.Loads().Find(server.Name()); known && now-load.Heard() < fullFor && load.Told() >= load.Limit() {
		return
	}
	if !l.Services().Ensure(q.Query().Service()).HedgesRef().Take() {
		return
	}
	q.SetHedges(q.Hedges() + 1)
	s.servers.Start(l, id, q, shard, server, true)
	l.Note("leg_hedged", server.Name(), q.Query().ID(), "the request to "+slow+" runs longer than nearly all")
}
