// Package claimr acts on what the keepers of claims told.
//
// # Usage
//
//	systems = append(systems, claimr.System{})
//
// It writes queries. A query with a granted claim is planned. A query without
// one ends: as unknown when another attempt holds the claim, since that one may
// run, and as not run otherwise, since this attempt sent nothing.
package claimr

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/qrys"
)

// System acts on the outcomes of claims.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "claimr" }

// Run acts on the outcomes that arrived in this tick.
func (s System) Run(l *lane.Lane, _ time.Duration) {
	for _, m := range l.Told() {
		id := lagoon.RowID(m.Query())
		q, ok := l.Queries().Resolve(id)
		if !ok || q.State() != qrys.Claiming || q.Attempt() != m.Attempt() {
			continue
		}
		s.act(l, id, q, m)
	}
}

func (System) act(l *lane.Lane, id lagoon.RowID, q *qrys.Row, m *lagoon.ClaimTold) {
	switch m.Outcome() {
	case lagoon.ClaimGranted:
		q.SetClaimed(true)
		l.Plan(id)
		return
	case lagoon.ClaimHeld:
		q.SetOutcome(lagoon.OutcomeUnknown)
		q.SetReason("the request id was claimed before, by node " + m.Detail() + "; the request may have run")
	case lagoon.ClaimForgotten:
		q.SetOutcome(lagoon.OutcomeUnknown)
		q.SetReason("the request id is too old to be remembered; the request may have run")
	default:
		q.SetOutcome(lagoon.OutcomeNotRun)
		q.SetReason("the claim on the request id could not be recorded: " + m.Detail())
	}
	q.SetDecided(true)
	q.SetState(qrys.Ended)
	l.Finish(id)
}
