// Package finish answers the queries that ended.
//
// # Usage
//
//	systems = append(systems, finish.System{})
//
// It removes the queries and their shard requests, cancels the requests that are
// still running, and updates the service table. The outcome
// OutcomeNotRun guarantees that no request of the query has run.
package finish

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
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
		s.cancelRequests(l, q)
		a := downgradeNotRun(q, s.compose(l, q))
		s.countEnd(l, q, now)
		s.voidClaim(l, id, q, a)
		q.AnswerChan() <- a
		if a.Outcome() != lagoon.OutcomeAnswered {
			l.Record("query_"+a.Outcome().String(), q.Query().Service(), q.Query().ID(), a.Reason())
		}
		l.Queries().Remove(id)
	}
}

// cancelRequests removes all shard requests of a query and cancels those still
// running. A request that was sent to its owner may have run despite the cancel.
func (System) cancelRequests(l *lane.Lane, q *query.Row) {
	for _, reqID := range q.Requests() {
		req, ok := l.ShardRequests().Resolve(reqID)
		if !ok {
			continue
		}
		if !req.Ended() {
			load := l.Loads().Ensure(req.Server())
			load.SetOutstanding(max(0, load.Outstanding()-1))
			if req.SentAt() > 0 {
				q.SetMayHaveRun(true)
				l.SendCancel(req.OwnerAddr(), uint64(reqID))
			}
		}
		l.ShardRequests().Remove(reqID)
	}
}

// downgradeNotRun changes OutcomeNotRun to OutcomeUnknown if the caller may have
// sent the request ID before and this attempt holds no claim on it: an earlier
// attempt may have run.
func downgradeNotRun(q *query.Row, a lagoon.Answer) lagoon.Answer {
	if a.Outcome() != lagoon.OutcomeNotRun || q.Query().Idempotent() || q.Query().NeverSent() || q.Claimed() {
		return a
	}
	a.SetOutcome(lagoon.OutcomeUnknown)
	a.SetReason("an earlier attempt with the request id may have run; this one did not: " + a.Reason())
	return a
}

func (s System) compose(l *lane.Lane, q *query.Row) lagoon.Answer {
	var a lagoon.Answer
	a.SetID(q.Query().ID())
	a.SetNode(l.View().Self())
	a.SetSnapshot(q.Snapshot())
	a.SetTotalShards(len(q.Shards()))
	a.SetHedges(q.Hedges())
	a.SetRetries(q.Retries())
	if q.OutcomeSet() {
		a.SetOutcome(q.Outcome())
		a.SetReason(q.Reason())
		return a
	}
	s.addParts(&a, q)
	s.setOutcome(l, &a, q)
	return a
}

// addParts adds the responses for the covered shards, and for the other shards the
// reasons why they are not covered.
func (System) addParts(a *lagoon.Answer, q *query.Row) {
	for i, shard := range q.Shards() {
		if q.Resolved()[i] && q.MissingReasons()[i] == "" {
			var p lagoon.Part
			p.SetShard(shard)
			p.SetBody(q.Parts()[i])
			a.SetParts(append(a.Parts(), p))
			continue
		}
		var missing lagoon.MissingShard
		missing.SetShard(shard)
		missing.SetReason(q.MissingReasons()[i])
		a.SetMissing(append(a.Missing(), missing))
	}
}

// setOutcome sets the outcome and reason of a planned query and removes the parts
// if their coverage is below the minimum.
func (System) setOutcome(l *lane.Lane, a *lagoon.Answer, q *query.Row) {
	switch {
	case len(a.Missing()) == 0 && a.TotalShards() > 0:
		a.SetOutcome(lagoon.OutcomeAnswered)
		return
	case len(a.Parts()) == 0 && !q.MayHaveRun():
		a.SetOutcome(lagoon.OutcomeNotRun)
	case !q.Query().Idempotent() && q.MayHaveRun():
		a.SetOutcome(lagoon.OutcomeUnknown)
	default:
		a.SetOutcome(lagoon.OutcomePartial)
	}
	a.SetReason(q.Reason())
	if len(a.Missing()) > 0 {
		a.SetReason(fmt.Sprintf("%d of %d shards are not covered; shard %d: %s", len(a.Missing()), a.TotalShards(), a.Missing()[0].Shard(), a.Missing()[0].Reason()))
	}
	if a.Outcome() == lagoon.OutcomePartial && coverage(a) < minCoverage(l, q) {
		a.SetParts(nil)
		a.SetReason(fmt.Sprintf("the parts are withheld because coverage is below the minimum of %.2f; %s", minCoverage(l, q), a.Reason()))
	}
}

func coverage(a *lagoon.Answer) float64 {
	return float64(len(a.Parts())) / float64(max(a.TotalShards(), 1))
}

// minCoverage returns the minimum coverage of the query or else of its service.
func minCoverage(l *lane.Lane, q *query.Row) float64 {
	if m := q.Query().MinCoverage(); m > 0 {
		return m
	}
	if svc, ok := l.View().Service(q.Query().Service()); ok {
		return svc.Rule().MinCoverage()
	}
	return 0
}

func (System) countEnd(l *lane.Lane, q *query.Row, now time.Duration) {
	if !q.CountedRunning() {
		return
	}
	state := l.Services().Ensure(q.Query().Service())
	state.LimitRef().Done(now, q.Overloaded(), state.Running())
	state.SetRunning(state.Running() - 1)
}

// voidClaim voids the claim of a query that did not run, so that the caller may
// retry with the same request ID. It does so only for a request ID that was never
// sent before. Otherwise the claim must stay: a delayed earlier attempt could run
// after the caller has received OutcomeNotRun.
func (System) voidClaim(l *lane.Lane, id lagoon.RowID, q *query.Row, a lagoon.Answer) {
	if a.Outcome() != lagoon.OutcomeNotRun || q.ClaimAttempt() == 0 || !q.Query().NeverSent() {
		return
	}
	var k claim.Keeper
	if keepers := l.View().ClaimKeepers(); len(keepers) > 0 {
		l.SendClaim(keepers[k.Bucket(q.Query().ID())], admit.NewClaimRequest(l, id, q, true))
	}
}
