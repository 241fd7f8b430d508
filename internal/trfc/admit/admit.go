// Package admit provides the admission control of arriving queries.
//
// # Usage
//
//	systems = append(systems, admit.System{})
//
// It reads the view and the service table; it writes queries and the service
// table. A query that is not admitted is answered as not run, with the reason.
package admit

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/timers"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

// System admits or refuses queries.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "admit" }

// Run admits or refuses the queries that arrived in this tick.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.NewQueries() {
		q, ok := l.Queries().Resolve(id)
		if !ok {
			continue
		}
		s.admit(l, id, q, now)
	}
}

func (s System) admit(l *lane.Lane, id lagoon.RowID, q *query.Row, now time.Duration) {
	svc, ok := l.View().Service(q.Query().Service())
	if !ok {
		refuse(l, id, q, lagoon.OutcomeInvalid, "service "+q.Query().Service()+" is not declared")
		return
	}
	q.SetStartedAt(now)
	timeout := q.Query().Timeout()
	if timeout <= 0 {
		timeout = time.Duration(svc.Rule().DeadlineMilli()) * time.Millisecond
	}
	q.SetDeadline(now + timeout)
	l.WakeAt(q.Deadline(), timers.Deadline, id)
	if reason := s.refusalReason(l, q, now); reason != "" {
		refuse(l, id, q, lagoon.OutcomeNotRun, reason)
		return
	}
	state := l.Services().Ensure(q.Query().Service())
	state.SetRunning(state.Running() + 1)
	q.SetCountedRunning(true)
	if q.Query().Idempotent() || l.Unlimited() {
		l.SchedulePlan(id)
		return
	}
	s.requestClaim(l, id, q)
}

// refusalReason returns why the node refuses a query now, or "" if it does not.
func (System) refusalReason(l *lane.Lane, q *query.Row, now time.Duration) string {
	if l.Unlimited() {
		return ""
	}
	if l.View().Refusing() {
		return "this node is stopping"
	}
	if l.View().LeaseUntil() <= now {
		return "this node has no lease: it is not in contact with a majority of the nodes"
	}
	state := l.Services().Ensure(q.Query().Service())
	if state.Running() >= state.LimitRef().Allowed() {
		return "overload: the service is at its limit of concurrent queries on this node"
	}
	return ""
}

// requestClaim sends a request for a claim on the request ID to its keeper.
func (System) requestClaim(l *lane.Lane, id lagoon.RowID, q *query.Row) {
	var k claim.Keeper
	if _, err := k.CreatedAt(q.Query().ID()); err != nil {
		refuse(l, id, q, lagoon.OutcomeInvalid, err.Error())
		return
	}
	bucket := k.Bucket(q.Query().ID())
	keepers := l.View().ClaimKeepers()
	if bucket >= len(keepers) {
		refuse(l, id, q, lagoon.OutcomeNotRun, "no live node keeps claims")
		return
	}
	q.SetState(query.Claiming)
	q.SetClaimAttempt(l.Random())
	l.SendClaim(keepers[bucket], NewClaimRequest(l, id, q, false))
}

// NewClaimRequest returns the message that claims the request ID of a query or, if
// void is set, voids the claim.
func NewClaimRequest(l *lane.Lane, id lagoon.RowID, q *query.Row, void bool) *lagoon.ClaimRequest {
	m := &lagoon.ClaimRequest{}
	m.SetFrom(l.View().Self())
	m.SetLane(l.Number())
	m.SetQueryID(uint64(id))
	m.SetRequestID(q.Query().ID())
	m.SetAttempt(q.ClaimAttempt())
	m.SetVoid(void)
	return m
}

func refuse(l *lane.Lane, id lagoon.RowID, q *query.Row, outcome lagoon.Outcome, reason string) {
	q.SetState(query.Ended)
	q.SetOutcomeSet(true)
	q.SetOutcome(outcome)
	q.SetReason(reason)
	l.ScheduleFinish(id)
}
