// Package hedge requests a second attempt when the first one takes longer than
// nearly all recent attempts.
//
// # Usage
//
//	systems = append(systems, hedge.System{})
//
// Only idempotent requests are hedged, within the route's limit of servers per
// shard and the service's retry budget, and none that may end the servers that run it.
package hedge

import (
	"fmt"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/tokens"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/blame"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/choose"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/costs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/timely"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// Parameters of the hedging delay.
const (
	slowShare      = 0.6 // of the retry budget, for ordinary slow attempts; the rest is for stragglers
	maxMedians     = 3   // the upper bound in medians, as stragglers among few samples raise the quantile
	initialDivisor = 4   // of the objective, until there are enough samples
)

// Parameters of the reserve that is kept for retries while the servers of a
// service refuse requests and the retry budget runs low. A refused request needs
// its retry immediately, whereas a hedge is still in time when it starts after a
// third of the objective.
const (
	reserveShare   = 0.5         // of the budget's burst, kept for retries after refusals
	reserveDivisor = 3           // of the objective, after which hedges use the reserve as well
	refusalWindow  = time.Second // the time that the reserve is kept after a refusal; a server gets some tens of requests in it
)

// Parameters of hedging by the cost left.
const (
	margin          = 1.2                  // by which the rest of an attempt must exceed the time of a new one
	recheckInterval = 4 * time.Millisecond // while it does not, at least

	// recheckShare is the share of the rest of an attempt after which it is considered again. A
	// small instance cannot consider each long attempt every few milliseconds.
	recheckShare = 0.1
)

// unansweredDelays is the time, in hedging delays, until a request that no shard has answered has
// more than one hedge.
const unansweredDelays = 2

// System hedges attempts.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "hedge" }

// Run hedges the attempts whose hedge timers have expired.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, id := range l.DueRows(timers.HedgeDelay) {
		attempt, ok := l.Attempts().Resolve(id)
		if !ok || attempt.Done() || attempt.RequestDone() {
			continue
		}
		shard, ok := l.Shards().Resolve(attempt.Shard())
		if !ok || shard.State() != shards.Running || shard.AttemptPending() || shard.Inflight() != 1 {
			continue
		}
		if req, ok := l.Requests().Resolve(attempt.Request()); ok && !req.Decided() {
			tryHedge(l, id, attempt, shard, req, now)
		}
	}
}

func tryHedge(l *loop.Loop, id lagoon.RowID, attempt *tries.Row, shard *shards.Row, req *reqs.Row, now time.Duration) {
	if !req.Route().Idempotent() || (shard.TriedServers() >= req.Route().MaxAttempts() && len(shard.RefusedBy())+len(shard.LostBy()) == 0) || !timely.Enough(l, req, now) {
		return
	}
	if blame.Verdict(l, req, attempt.Service(), now) != lagoon.VerdictNone {
		l.WakeAt(now+recheckInterval, timers.HedgeDelay, id)
		return
	}
	if at := attempt.SentAt() + unansweredTime(l, req, attempt); now < at && req.CoveredShards() == 0 && hedged(l, req) {
		l.WakeAt(at, timers.HedgeDelay, id)
		return
	}
	budget := l.Budgets().Ensure(attempt.Service())
	bucket := budget.TokensRef()
	var view lagoon.HedgeView
	view.SetElapsed(now - attempt.SentAt())
	view.SetTypicalLatency(Delay(l, req.Route()))
	view.SetRemaining(req.Deadline() - now)
	view.SetTokens(bucket.Available())
	view.SetAttempts(shard.Inflight())
	if attempt.Slowdown() > 0 {
		elsewhere, worth := worthwhile(l, attempt, shard, req, now)
		if !worth {
			rest := costs.Rest(l, attempt, now)
			l.WakeAt(now+max(recheckInterval, time.Duration(recheckShare*float64(rest))), timers.HedgeDelay, id)
			return
		}
		view.SetTypicalLatency(min(view.Elapsed(), elsewhere))
	}
	hedge, wait := l.HedgePolicy().Hedge(view)
	if !hedge {
		if wait > 0 {
			l.WakeAt(now+wait, timers.HedgeDelay, id)
		}
		return
	}
	if at := req.CallerStart() + req.Route().Objective()/reserveDivisor; now < at && reserved(budget, now) {
		l.WakeAt(at, timers.HedgeDelay, id)
		return
	}
	shard.SetNeedsToken(true)
	shard.SetAttemptPending(true)
	shard.SetAttemptReason("hedge")
	shard.SetQueuedAt(now)
	l.Enqueue(attempt.Shard())
	request := req.Request()
	l.Record("attempt_hedged", attempt.Service(), request.ID(), fmt.Sprintf("attempt at %s has been running for %s, hedge delay %s; %.1f extra attempts left", attempt.Server(), now-attempt.SentAt(), view.TypicalLatency(), bucket.Available()))
}

// unansweredTime returns the time after an attempt was sent until a request that no shard has
// answered has more than one hedge. It may be about to end all servers that have it, and these need
// some time for that. Where the cost model is in use, it hedges sooner, by what it knows of both
// servers, and waits for no longer than other attempts do.
func unansweredTime(l *loop.Loop, req *reqs.Row, attempt *tries.Row) time.Duration {
	if attempt.Slowdown() > 0 {
		return Delay(l, req.Route())
	}
	return unansweredDelays * Delay(l, req.Route())
}

// hedged reports whether an attempt of a request is hedged now.
func hedged(l *loop.Loop, req *reqs.Row) bool {
	return slices.ContainsFunc(req.Shards(), func(id lagoon.RowID) bool {
		shard, ok := l.Shards().Resolve(id)
		return ok && (shard.Inflight() > 1 || (shard.AttemptPending() && shard.Inflight() > 0))
	})
}

// worthwhile reports whether the rest of an attempt is expected to take longer than a new one at
// the best other server does, which is elsewhere.
func worthwhile(l *loop.Loop, attempt *tries.Row, shard *shards.Row, req *reqs.Row, now time.Duration) (elsewhere time.Duration, worth bool) {
	c := choose.Best(l, shard, req, now)
	e := c.Estimate()
	if !c.Found() || e.Slowdown() == 0 {
		return 0, c.Found()
	}
	elsewhere = e.Expected(c.Wait())
	return elsewhere, float64(costs.Rest(l, attempt, now)) > margin*float64(elsewhere)
}

// FirstCheck returns the time after which it is first considered to hedge an attempt.
func FirstCheck(l *loop.Loop, r *lagoon.Route, attempt *tries.Row) time.Duration {
	if attempt.Slowdown() == 0 {
		return Delay(l, r)
	}
	c := attempt.Cost()
	return attempt.Wait() + time.Duration(float64(c.Mean())*attempt.Slowdown())
}

// reserved reports whether the tokens left are reserved for retries after
// refusals.
func reserved(budget *tokens.Row, now time.Duration) bool {
	return budget.RetriedAt() > 0 && now-budget.RetriedAt() < refusalWindow && budget.TokensRef().Available() < reserveShare*budget.Burst()
}

// Delay returns the time after which an attempt on a route is hedged: the quantile of
// recent latencies at which hedging all slower attempts takes slowShare of ExtraRatio,
// the part of the retry budget that grows with the requests, but at most maxMedians
// medians.
func Delay(l *loop.Loop, r *lagoon.Route) time.Duration {
	stats := l.RouteStats().Ensure(r.Name())
	latencies := stats.LatenciesRef()
	if !latencies.Ready() {
		return r.Objective() / initialDivisor
	}
	quantile := 100 - slowShare*100*l.ExtraRatio()
	return min(latencies.Quantile(quantile), maxMedians*latencies.Quantile(50))
}
