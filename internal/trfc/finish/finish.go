// Package finish composes the answers of queries that ended.
//
// # Usage
//
//	systems = append(systems, finish.System{})
//
// It removes the queries and their legs, withdraws legs that still run, and
// counts the end in the service table. An answer says not run only when no
// request of the query can have run.
package finish

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/trfc/admit"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

// System answers queries.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "finish" }

// Run answers the queries that ended in this tick.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.ToFinish() {
		q, ok := l.Queries().Resolve(id)
		if !ok {
			continue
		}
		s.withdraw(l, q)
		a := truthful(q, s.compose(l, q))
		s.count(l, q, now)
		s.void(l, id, q, a)
		q.Reply() <- a
		if a.Outcome() != lagoon.OutcomeAnswered {
			l.Note("query_"+a.Outcome().String(), q.Query().Service(), q.Query().ID(), a.Reason())
		}
		l.Queries().Remove(id)
	}
}

// withdraw cancels the legs that still run and removes all legs. A leg that
// was handed over and is cancelled now may have run.
func (System) withdraw(l *lane.Lane, q *qrys.Row) {
	for _, legID := range q.Legs() {
		leg, ok := l.Legs().Resolve(legID)
		if !ok {
			continue
		}
		if !leg.Ended() {
			load := l.Loads().Ensure(leg.Server())
			load.SetOutstanding(max(0, load.Outstanding()-1))
			if leg.Sent() > 0 {
				q.SetUnsure(true)
				l.SendCancel(leg.OwnerAddr(), uint64(legID))
			}
		}
		l.Legs().Remove(legID)
	}
}

// truthful takes not_run back where this node cannot know it. A request id that
// the caller may have sent before, and on which this attempt holds no claim, may
// have run by the earlier sending.
func truthful(q *qrys.Row, a lagoon.Answer) lagoon.Answer {
	if a.Outcome() != lagoon.OutcomeNotRun || q.Query().Idempotent() || q.Query().First() || q.Claimed() {
		return a
	}
	a.SetOutcome(lagoon.OutcomeUnknown)
	a.SetReason("an earlier sending of the request id may have run; this one did not: " + a.Reason())
	return a
}

func (s System) compose(l *lane.Lane, q *qrys.Row) lagoon.Answer {
	var a lagoon.Answer
	a.SetID(q.Query().ID())
	a.SetNode(l.View().Self())
	a.SetSnapshot(q.Snapshot())
	a.SetTotal(len(q.Shards()))
	a.SetHedges(q.Hedges())
	a.SetRetries(q.Retries())
	if q.Decided() {
		a.SetOutcome(q.Outcome())
		a.SetReason(q.Reason())
		return a
	}
	s.fill(&a, q)
	s.judge(l, &a, q)
	return a
}

// fill lists the parts and the gaps.
func (System) fill(a *lagoon.Answer, q *qrys.Row) {
	for i, shard := range q.Shards() {
		if q.Done()[i] && q.Reasons()[i] == "" {
			var p lagoon.Part
			p.SetShard(shard)
			p.SetBody(q.Parts()[i])
			a.SetParts(append(a.Parts(), p))
			continue
		}
		var g lagoon.Gap
		g.SetShard(shard)
		g.SetReason(q.Reasons()[i])
		a.SetGaps(append(a.Gaps(), g))
	}
}

// judge sets the outcome of a planned query.
func (System) judge(l *lane.Lane, a *lagoon.Answer, q *qrys.Row) {
	switch {
	case len(a.Gaps()) == 0 && a.Total() > 0:
		a.SetOutcome(lagoon.OutcomeAnswered)
		return
	case len(a.Parts()) == 0 && !q.Unsure():
		a.SetOutcome(lagoon.OutcomeNotRun)
	case !q.Query().Idempotent() && q.Unsure():
		a.SetOutcome(lagoon.OutcomeUnknown)
	default:
		a.SetOutcome(lagoon.OutcomePartial)
	}
	a.SetReason(q.Reason())
	if len(a.Gaps()) > 0 {
		a.SetReason(fmt.Sprintf("%d of %d shards are not covered; shard %d: %s", len(a.Gaps()), a.Total(), a.Gaps()[0].Shard(), a.Gaps()[0].Reason()))
	}
	if a.Outcome() == lagoon.OutcomePartial && coverage(a) < smallest(l, q) {
		a.SetParts(nil)
		a.SetReason(fmt.Sprintf("the parts are withheld, as coverage is below the smallest accepted, %.2f; %s", smallest(l, q), a.Reason()))
	}
}

func coverage(a *lagoon.Answer) float64 {
	return float64(len(a.Parts())) / float64(max(a.Total(), 1))
}

// smallest returns the smallest coverage that the query accepts.
func smallest(l *lane.Lane, q *qrys.Row) float64 {
	if m := q.Query().MinCoverage(); m > 0 {
		return m
	}
	if svc, ok := l.View().Service(q.Query().Service()); ok {
		return svc.Rule().MinCoverage()
	}
	return 0
}

func (System) count(l *lane.Lane, q *qrys.Row, now time.Duration) {
	if !q.Counted() {
		return
	}
	state := l.Services().Ensure(q.Query().Service())
	state.LimitRef().Done(now, q.Refused(), state.Running())
	state.SetRunning(state.Running() - 1)
}

// void gives the claim of a query back that surely did not run, so that the
// caller may send it again under the same id. Only a first sending does: after a
// repeated one, the claim must stay to keep a delayed earlier sending from
// running after its caller was told that the request did not run.
func (System) void(l *lane.Lane, id lagoon.RowID, q *qrys.Row, a lagoon.Answer) {
	if a.Outcome() != lagoon.OutcomeNotRun || q.Attempt() == 0 || !q.Query().First() {
		return
	}
	var k claim.Keeper
	if keepers := l.View().Keepers(); len(keepers) > 0 {
		l.SendClaim(keepers[k.Bucket(q.Query().ID())], admit.Ask(l, id, q, true))
	}
}
