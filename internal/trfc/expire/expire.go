// Package expire ends queries at their deadline.
//
// # Usage
//
//	systems = append(systems, expire.System{})
//
// It writes queries. A shard without a response is reported as not covered. A
// non-idempotent query with a running request ends as unknown.
package expire

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// System expires queries.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "expire" }

// Run ends the queries whose deadline has passed.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.DueRows(timers.Deadline) {
		q, ok := l.Queries().Resolve(id)
		if !ok || q.State() == query.Ended || q.Deadline() > now {
			continue
		}
		s.expire(l, id, q)
	}
}

func (System) expire(l *lane.Lane, id lagoon.RowID, q *query.Row) {
	if q.State() == query.Claiming {
		q.SetOutcomeSet(true)
		q.SetOutcome(lagoon.OutcomeNotRun)
		q.SetReason("the claim on the request id was not recorded before the deadline")
	}
	for shard := range q.Shards() {
		if !q.Resolved()[shard] {
			q.Resolved()[shard] = true
			q.MissingReasons()[shard] = "no answer before the deadline"
			q.SetUnresolved(q.Unresolved() - 1)
		}
	}
	q.SetState(query.Ended)
	l.ScheduleFinish(id)
}
