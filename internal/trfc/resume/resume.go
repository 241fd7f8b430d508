// Package resume continues or ends the queries whose claim requests were answered.
//
// # Usage
//
//	systems = append(systems, resume.System{})
//
// It writes queries. A query whose claim is granted is planned. Otherwise the query
// ends: as unknown if another attempt holds the claim or the request ID is too old to
// tell, because another attempt may run, and otherwise as not run, because this
// attempt sent nothing. Package finish changes not run to unknown if an earlier
// attempt with the same ID may have run.
package resume

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
)

// System handles claim responses.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "resume" }

// Run handles the claim responses that arrived in this tick.
func (s System) Run(l *lane.Lane, _ time.Duration) {
	for _, m := range l.ClaimResponses() {
		id := lagoon.RowID(m.QueryID())
		q, ok := l.Queries().Resolve(id)
		if !ok || q.State() != query.Claiming || q.ClaimAttempt() != m.Attempt() {
			continue
		}
		s.handle(l, id, q, m)
	}
}

func (System) handle(l *lane.Lane, id lagoon.RowID, q *query.Row, m *lagoon.ClaimResponse) {
	switch m.Outcome() {
	case lagoon.ClaimGranted:
		q.SetClaimed(true)
		l.SchedulePlan(id)
		return
	case lagoon.ClaimHeld:
		q.SetOutcome(lagoon.OutcomeUnknown)
		q.SetReason("the request id is already claimed by node " + m.Detail() + "; the request may have run")
	case lagoon.ClaimExpired:
		q.SetOutcome(lagoon.OutcomeUnknown)
		q.SetReason("the request id is older than the claims that are kept; the request may have run")
	default:
		q.SetOutcome(lagoon.OutcomeNotRun)
		q.SetReason("the claim on the request id could not be recorded: " + m.Detail())
	}
	q.SetOutcomeSet(true)
	q.SetState(query.Ended)
	l.ScheduleFinish(id)
}
