// Package admit decides which arriving queries are taken on.
//
// # Usage
//
//	systems = append(systems, admit.System{})
//
// It reads the view and the service table; it writes queries and the service
// table. A query that is not taken on is refused as not run, with the reason.
package admit

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/due"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

// System admits queries.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "admit" }

// Run admits or refuses the queries that arrived in this tick.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.Fresh() {
		q, ok := l.Queries().Resolve(id)
		if !ok {
			continue
		}
		s.admit(l, id, q, now)
	}
}

func (s System) admit(l *lane.Lane, id lagoon.RowID, q *qrys.Row, now time.Duration) {
	svc, ok := l.View().Service(q.Query().Service())
	if !ok {
		refuse(l, id, q, lagoon.OutcomeInvalid, "service "+q.Query().Service()+" is not declared")
		return
	}
	q.SetStarted(now)
	timeout := q.Query().Timeout()
	if timeout <= 0 {
		timeout = time.Duration(svc.Rule().DeadlineMilli()) * time.Millisecond
	}
	q.SetDeadline(now + timeout)
	l.WakeAt(q.Deadline(), due.Query, id)
	if reason := s.blocked(l, q, now); reason != "" {
		refuse(l, id, q, lagoon.OutcomeNotRun, reason)
		return
	}
	state := l.Services().Ensure(q.Query().Service())
	state.SetRunning(state.Running() + 1)
	q.SetCounted(true)
	if q.Query().Idempotent() || l.FanOut() {
		l.Plan(id)
		return
	}
	s.claim(l, id, q)
}

// blocked returns why the node takes on no query of the service now, or "".
func (System) blocked(l *lane.Lane, q *qrys.Row, now time.Duration) string {
	if l.FanOut() {
		return ""
	}
	if l.View().Stopping() {
		return "this node is stopping"
	}
	if l.View().LeaseUntil() <= now {
		return "this node has not heard from a majority of nodes lately and may be cut off"
	}
	state := l.Services().Ensure(q.Query().Service())
	if state.Running() >= state.LimitRef().Allowed() {
		return "overload: the service has as many queries running here as it bears"
	}
	return ""
}

// claim asks the keeper for a claim on the request id.
func (System) claim(l *lane.Lane, id lagoon.RowID, q *qrys.Row) {
	var k claim.Keeper
	if _, err := k.Made(q.Query().ID()); err != nil {
		refuse(l, id, q, lagoon.OutcomeInvalid, err.Error())
		return
	}
	bucket := k.Bucket(q.Query().ID())
	keepers := l.View().Keepers()
	if bucket >= len(keepers) {
		refuse(l, id, q, lagoon.OutcomeNotRun, "no node keeps claims now")
		return
	}
	q.SetState(qrys.Claiming)
	q.SetAttempt(l.Seed())
	l.SendClaim(keepers[bucket], Ask(l, id, q, false))
}

// Ask returns the message that claims a query's request id, or voids its claim.
func Ask(l *lane.Lane, id lagoon.RowID, q *qrys.Row, void bool) *lagoon.ClaimAsk {
	a := &lagoon.ClaimAsk{}
	a.SetFrom(l.View().Self())
	a.SetLane(l.Number())
	a.SetQuery(uint64(id))
	a.SetRequest(q.Query().ID())
	a.SetAttempt(q.Attempt())
	a.SetVoid(void)
	return a
}

func refuse(l *lane.Lane, id lagoon.RowID, q *qrys.Row, outcome lagoon.Outcome, reason string) {
	q.SetState(qrys.Ended)
	q.SetDecided(true)
	q.SetOutcome(outcome)
	q.SetReason(reason)
	l.Finish(id)
}
