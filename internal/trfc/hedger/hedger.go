// Package hedger sends hedges: duplicates of shard requests that run long.
//
// # Usage
//
//	systems = append(systems, &hedger.System{})
//
// It reads shard requests and the service table; it writes queries, shard requests,
// owners and the hedge and retry budgets. Only idempotent queries are hedged.
package hedger

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/shreqs"
	"github.com/lagoontrail/lagoon/internal/timers"
	"github.com/lagoontrail/lagoon/internal/trfc/route"
)

// overloadHoldoff is the time without hedges for a service after a server refused
// one of its requests.
const overloadHoldoff = 20 * time.Millisecond

// fullServerTTL is the time for which a server that was reported full gets no
// hedges. It can be short, because the owner refuses a hedge without a free slot.
const fullServerTTL = 10 * time.Millisecond

// Parameters for suspecting an owner.
const (
	suspectLatencyFactor = 3 // request age, in typical latencies, at which an owner that has not responded is suspected
	suspectMinDelay      = 25 * time.Millisecond
	suspicionTTL         = 500 * time.Millisecond
	maxAttemptsPerShard  = 4 // includes the first attempt
)

// System hedges shard requests. The zero value is ready to use.
type System struct {
	servers route.Selector
}

// Name returns the system's name.
func (*System) Name() string { return "hedger" }

// Run examines the shard requests whose hedging delay has elapsed.
func (s *System) Run(l *lane.Lane, now time.Duration) {
	if l.Unlimited() {
		return
	}
	for _, id := range l.DueRows(timers.HedgeDelay) {
		req, ok := l.ShardRequests().Resolve(id)
		if !ok || req.Ended() {
			continue
		}
		q, ok := l.Queries().Resolve(req.Query())
		if !ok || q.State() != query.Running || q.Resolved()[req.ShardIndex()] {
			continue
		}
		s.decide(l, id, req, q, now)
	}
}

func (s *System) decide(l *lane.Lane, id lagoon.RowID, req *shreqs.Row, q *query.Row, now time.Duration) {
	state := l.Services().Ensure(q.Query().Service())
	var v lagoon.HedgeView
	v.SetElapsed(now - req.SentAt())
	v.SetTypicalLatency(state.TypicalLatency())
	v.SetRemaining(q.Deadline() - now)
	v.SetTokens(state.HedgeBudgetRef().Available())
	v.SetAttempts(q.Attempts()[req.ShardIndex()])
	v.SetOverloaded(state.RefusedAt() > 0 && now-state.RefusedAt() < overloadHoldoff)
	hedge, wait := l.HedgePolicy().Hedge(v)
	if wait > 0 {
		l.WakeAt(now+wait, timers.HedgeDelay, id)
	}
	switch {
	case s.ownerSilent(l, req, state.TypicalLatency(), now):
		s.bypassOwner(l, req.Query(), q, req, now)
	case hedge:
		s.hedge(l, req.Query(), q, req, now)
	}
}

// ownerSilent reports whether a shard request is long overdue and its owner has
// responded to nothing since the request was sent.
func (*System) ownerSilent(l *lane.Lane, req *shreqs.Row, typical, now time.Duration) bool {
	if req.OwnerAddr() == "" || now-req.SentAt() < max(suspectMinDelay, suspectLatencyFactor*typical) {
		return false
	}
	p, ok := l.Peers().Find(req.Owner())
	return !ok || p.RespondedAt() < req.SentAt()
}

// bypassOwner marks an owner as suspect and sends a shard request to a replica with
// another owner. It uses the retry budget, because a failed owner would soon
// exhaust the hedge budget, and because the suspicion may be wrong.
func (s *System) bypassOwner(l *lane.Lane, id lagoon.RowID, q *query.Row, req *shreqs.Row, now time.Duration) {
	p := l.Peers().Ensure(req.Owner())
	if p.SuspectUntil() <= now {
		l.Record("owner_suspected", req.Owner(), "", "no response since a request that is long overdue; shard requests go to other owners for now")
	}
	p.SetSuspectUntil(now + suspicionTTL)
	shard, slowServer := req.ShardIndex(), req.Server()
	if q.Inflight()[shard] > 1 || q.Attempts()[shard] >= maxAttemptsPerShard {
		return
	}
	server, ok := s.servers.Select(l, q, shard)
	if !ok || !l.Services().Ensure(q.Query().Service()).RetryBudgetRef().Take() {
		return
	}
	q.SetRetries(q.Retries() + 1)
	s.servers.AddRequest(l, id, q, shard, server, false)
	l.Record("leg_rescued", server.Name(), q.Query().ID(), "the owner of "+slowServer+" does not respond")
}

func (s *System) hedge(l *lane.Lane, id lagoon.RowID, q *query.Row, req *shreqs.Row, now time.Duration) {
	shard, slowServer := req.ShardIndex(), req.Server()
	server, ok := s.servers.Select(l, q, shard)
	if !ok {
		return
	}
	if load, known := l.Loads().Find(server.Name()); known && now-load.ReportedAt() < fullServerTTL && load.ReportedLoad() >= load.ReportedLimit() {
		return
	}
	if !l.Services().Ensure(q.Query().Service()).HedgeBudgetRef().Take() {
		return
	}
	q.SetHedges(q.Hedges() + 1)
	s.servers.AddRequest(l, id, q, shard, server, true)
	l.Record("leg_hedged", server.Name(), q.Query().ID(), "the request to "+slowServer+" has exceeded the typical latency")
}
