// Package result processes the results of attempts: it updates server health and
// route statistics, stores responses, and queues a retry where that is safe and
// within the limits.
//
// # Usage
//
//	systems = append(systems, result.System{})
//
// A request that is not idempotent is retried only after a result that says that
// it did not run. A refused request is retried while time is left, if necessary
// at a server that refused it before; package sched takes the token for it from
// the retry budget. So is an idempotent request whose response was lost, also at the
// server that lost it: when the servers of many shards lose some of their responses at
// once, the two servers that a route allows may both have lost theirs.
package result

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/health"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/costs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/stamps"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/timely"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

// Weights of a new sample in a moving average.
const (
	latencyWeight = 0.25 // a server's excess latency, which a few responses determine
	meanWeight    = 0.05 // a route's mean latency, over about the last 20 responses
	failureWeight = 0.2  // a server's failure rate, which rises within a second under normal load
	refusedWeight = 0.05 // a service's share of refused attempts, over about the last 20
)

// Bounds of a sample, relative to the route's mean latency.
const (
	minExcess = -0.6 // of the excess latency of a server
	maxExcess = 6.0  // of the excess latency of a server
	maxMeans  = 4    // of the latency that enters the route's mean, to limit the effect of stragglers
)

// Backoff of servers that fail.
const (
	failureLimit        = 3                      // consecutive failures, each after a typical latency or later; one lost response and its retry may count as two
	earlyFailureLimit   = 8                      // consecutive failures, the last of them earlier; a server that loses half of its responses rarely has that many
	connectFailureLimit = 2                      // consecutive failures to connect
	initialBackoff      = 250 * time.Millisecond // doubles with each further failure
	maxBackoff          = time.Second            // a server that recovers is used again within a second
)

// maxMisdirected bounds the attempts for a shard that did not reach the intended
// server. Such attempts cause no work at the servers, so the route's limit of servers
// per shard does not count them.
const maxMisdirected = 4

// maxLosses bounds the attempts for a shard whose response was lost. They go to servers
// that were not tried, while the route allows another one, and then to tried ones again.
const maxLosses = 4

// System processes the results of attempts.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "result" }

// Run processes the results of this tick and ends the requests whose caller
// disconnected.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, id := range l.Completed() {
		attempt, ok := l.Attempts().Resolve(id)
		if !ok {
			continue
		}
		stamps.Check(l, attempt)
		recordHealth(l, attempt, now)
		costs.Ended(l, id, attempt, now)
		recordUnsolicited(l, attempt)
		if !attempt.RequestDone() {
			updateShard(l, attempt, now)
		}
		l.Attempts().Remove(id)
	}
	removeUnannouncedServers(l)
	for _, id := range l.Disconnected() {
		if req, ok := l.Requests().Resolve(id); ok && !req.Decided() {
			var r lagoon.Response
			r.SetOutcome(lagoon.RequestCanceled)
			r.SetReason("the caller disconnected")
			req.SetResponse(r)
			req.SetDecided(true)
			l.MarkDecided(id)
		}
	}
}

// sweepThreshold is the number of health rows in excess of the announced servers
// at which stale rows are removed.
const sweepThreshold = 64

// removeUnannouncedServers removes the health of servers that are no longer announced
// once there are enough of them.
func removeUnannouncedServers(l *loop.Loop) {
	known := l.View().ServerIDs()
	if l.Health().Len() < len(known)+sweepThreshold {
		return
	}
	for i := l.Health().Len() - 1; i >= 0; i-- {
		if id := l.Health().Key(i); !known[id] && l.Health().At(i).Inflight() == 0 {
			l.Health().RemoveKey(id)
		}
	}
}

// recordHealth updates the health of the server and the route's statistics.
func recordHealth(l *loop.Loop, attempt *tries.Row, now time.Duration) {
	h, ok := l.Health().Find(attempt.Server())
	if !ok {
		return
	}
	h.SetInflight(max(0, h.Inflight()-1))
	if attempt.Suspect() {
		h.SetSuspects(max(0, h.Suspects()-1))
	}
	result := attempt.Result()
	if result.Slots() > 0 {
		h.SetReportedLoad(float64(max(0, result.Running()+result.Queued()-h.Inflight()-1)))
		h.SetReportedAt(now)
	}
	switch result.Status() {
	case lagoon.StatusOK:
		h.SetConnectFailed(false)
		h.SetConsecutiveFailures(0)
		h.SetBackoffUntil(0)
		h.SetFailureRate(h.FailureRate() * (1 - failureWeight))
		h.SetSilentSince(now)
		recordLatency(l, attempt, h, now)
	case lagoon.StatusRefused:
		if result.AddressReused() {
			h.SetAddressReusedStart(h.StartedMilli())
			l.Record("server_misplaced", attempt.Server(), "", "another server answered at its address: "+result.Detail())
			break
		}
		h.SetFailureRate(h.FailureRate() + failureWeight*(1-h.FailureRate()))
		h.SetSampledAt(now)
	case lagoon.StatusNotSent:
		if result.Withheld() {
			break // says nothing about the server
		}
		h.SetConnectFailed(true)
		recordFailure(l, attempt, h, now, connectFailureLimit)
	case lagoon.StatusUnknown, lagoon.StatusFailed:
		if attempt.RequestDone() && attempt.Elapsed() < initialBackoff {
			break // cancelled early, which says nothing about the server
		}
		h.SetConnectFailed(result.Ended())
		if result.Ended() { // it does not accept connections
			recordFailure(l, attempt, h, now, min(h.ConsecutiveFailures()+1, connectFailureLimit))
			break
		}
		if attempt.Elapsed() < l.RouteStats().Ensure(attempt.Route()).MeanLatency() {
			recordFailure(l, attempt, h, now, earlyFailureLimit) // an early failure does not show how fast the server is
			break
		}
		recordLatency(l, attempt, h, now)
		recordFailure(l, attempt, h, now, failureLimit)
	}
}

// recordLatency adds the latency of an attempt to the averages.
func recordLatency(l *loop.Loop, attempt *tries.Row, h *health.Row, now time.Duration) {
	r := l.RouteStats().Ensure(attempt.Route())
	if r.MeanLatency() == 0 {
		r.SetMeanLatency(attempt.Elapsed())
	}
	sample := float64(attempt.Elapsed())/float64(r.MeanLatency()) - 1
	sample = min(max(sample, minExcess), maxExcess)
	h.SetExcessLatency(h.ExcessLatency() + latencyWeight*(sample-h.ExcessLatency()))
	h.SetSampledAt(now)
	capped := min(attempt.Elapsed(), maxMeans*r.MeanLatency())
	r.SetMeanLatency(r.MeanLatency() + time.Duration(meanWeight*float64(capped-r.MeanLatency())))
	if !attempt.Parallel() {
		r.LatenciesRef().Record(attempt.Elapsed(), now)
	}
}

// recordFailure counts a failure and starts the server's backoff after a few in
// a row.
func recordFailure(l *loop.Loop, attempt *tries.Row, h *health.Row, now time.Duration, limit int) {
	h.SetConsecutiveFailures(h.ConsecutiveFailures() + 1)
	h.SetFailureRate(h.FailureRate() + failureWeight*(1-h.FailureRate()))
	excess := h.ConsecutiveFailures() - limit
	if excess < 0 {
		return
	}
	backoff := min(initialBackoff<<min(excess, 4), maxBackoff)
	h.SetBackoffUntil(now + backoff)
	result := attempt.Result()
	l.Record("server_rested", attempt.Server(), "", "no requests for "+backoff.String()+" after consecutive failures; last failure: "+result.Detail())
}

// updateShard applies the result of an attempt to its shard.
func updateShard(l *loop.Loop, attempt *tries.Row, now time.Duration) {
	req, ok := l.Requests().Resolve(attempt.Request())
	if !ok || req.Decided() {
		return
	}
	shard, ok := l.Shards().Resolve(attempt.Shard())
	if !ok {
		return
	}
	result := attempt.Result()
	shard.SetInflight(shard.Inflight() - 1)
	req.SetTrace(append(req.Trace(), describe(req, attempt)...))
	if !result.Status().NotRun() {
		req.SetMayHaveRun(true)
	}
	if result.Status() != lagoon.StatusNotSent {
		req.SetReached(true)
	}
	if shard.State() == shards.Covered || shard.State() == shards.Missing {
		return
	}
	l.MarkChanged(attempt.Request())
	recordServer(req, shard, attempt, result)
	if reachedServer(result) {
		recordRefusal(l, attempt.Service(), result.Status(), now)
	}
	if result.Status() == lagoon.StatusOK {
		shard.SetState(shards.Covered)
		shard.SetReply(result.Reply())
		shard.SetAttemptPending(false)
		req.SetCoveredShards(req.CoveredShards() + 1)
		req.SetPendingShards(req.PendingShards() - 1)
		return
	}
	shard.SetDetail(result.Status().String() + ": " + result.Detail())
	switch result.Status() {
	case lagoon.StatusFailed:
		shard.SetReply(result.Reply())
	case lagoon.StatusUnknown:
		shard.SetReply(nil) // its server may have answered with a success, so an earlier failure is not what became of the request
	}
	if shard.AttemptPending() || (shard.Inflight() > 0 && !result.Status().NotRun()) {
		return
	}
	if shouldRetry(l, req, shard, result, now) {
		shard.SetAttemptPending(true)
		shard.SetAttemptReason("after " + shard.Detail())
		shard.SetQueuedAt(now)
		if shard.Inflight() == 0 {
			shard.SetState(shards.Waiting)
		}
		l.Enqueue(attempt.Shard())
		request := req.Request()
		l.Record("attempt_repeated", attempt.Service(), request.ID(), "attempt at "+attempt.Server()+" ended with "+shard.Detail())
		return
	}
	if shard.Inflight() > 0 {
		return
	}
	shard.SetState(shards.Missing)
	req.SetPendingShards(req.PendingShards() - 1)
}

// recordUnsolicited writes to the journal what a server sent that belongs to no attempt in
// progress.
func recordUnsolicited(l *loop.Loop, attempt *tries.Row) {
	result := attempt.Result()
	if result.Unsolicited() != "" {
		l.Record("response_unsolicited", attempt.Server(), l.RequestIDOf(attempt), "the server sent what belongs to no attempt in progress: "+result.Unsolicited())
	}
}

// describe describes the result of an attempt for the journal. The responses to requests for
// one service are named by their stamps, with the connections that they came on.
func describe(req *reqs.Row, attempt *tries.Row) string {
	result := attempt.Result()
	text := " " + attempt.Service() + "@" + attempt.Server() + "=" + result.Status().String() + "/" + attempt.Elapsed().Round(time.Millisecond).String() + costs.Describe(attempt)
	reply, ok := result.Reply().(lagoon.StampedReply)
	if !ok || len(req.Route().Shards()) > 0 {
		return text
	}
	if result.ConnOpened() {
		return text + "/new connection/stamp " + reply.Stamp()
	}
	return text + "/reused connection/stamp " + reply.Stamp()
}

// recordRefusal records the result of an attempt in the retry budget of its service.
func recordRefusal(l *loop.Loop, service string, status lagoon.Status, now time.Duration) {
	budget := l.Budgets().Ensure(service)
	if status != lagoon.StatusOK {
		budget.SetRetriedAt(now)
	}
	refused := 0.0
	if status.NotRun() {
		refused = 1
	}
	budget.SetRefusedShare(budget.RefusedShare() + refusedWeight*(refused-budget.RefusedShare()))
}

// recordServer updates which servers count as tried and which may be retried.
func recordServer(req *reqs.Row, shard *shards.Row, attempt *tries.Row, result lagoon.AttemptResult) {
	switch {
	case !reachedServer(result):
		if attempt.FirstToServer() {
			shard.SetTriedServers(shard.TriedServers() - 1) // only servers that were reached count
		}
	case result.Status().NotRun():
		shard.SetExcluded(slices.DeleteFunc(shard.Excluded(), func(id string) bool { return id == attempt.Server() }))
		shard.SetRefusedBy(append(shard.RefusedBy(), attempt.Server()))
		shard.SetRefusals(shard.Refusals() + 1)
	case result.Status() != lagoon.StatusOK && req.Route().Idempotent() && !result.Permanent():
		shard.SetExcluded(slices.DeleteFunc(shard.Excluded(), func(id string) bool { return id == attempt.Server() }))
		shard.SetLostBy(append(shard.LostBy(), attempt.Server()))
		shard.SetLosses(shard.Losses() + 1)
	}
}

// reachedServer reports whether the attempt reached the intended server.
func reachedServer(result lagoon.AttemptResult) bool {
	return result.Status() != lagoon.StatusNotSent && !result.AddressReused()
}

// shouldRetry reports whether another attempt may follow a failed one.
func shouldRetry(l *loop.Loop, req *reqs.Row, shard *shards.Row, result lagoon.AttemptResult, now time.Duration) bool {
	serversLeft := shard.TriedServers() < req.Route().MaxAttempts()
	switch {
	case !timely.Enough(l, req, now):
		return false
	case !reachedServer(result):
		return len(shard.Excluded()) <= maxMisdirected && (serversLeft || len(shard.RefusedBy())+len(shard.LostBy()) > 0)
	case result.Status().NotRun():
		return retryRefused(l, req, shard, now)
	case !req.Route().Idempotent() || result.Permanent() || shard.Losses() >= maxLosses:
		return false
	}
	shard.SetNeedsToken(true)
	return true
}

// retryRefused reports whether a refused request is retried, and records the
// earliest time for it.
func retryRefused(l *loop.Loop, req *reqs.Row, shard *shards.Row, now time.Duration) bool {
	var view lagoon.RetryView
	view.SetRefusals(shard.Refusals())
	view.SetUntriedLeft(shard.TriedServers() < req.Route().MaxAttempts() && hasUntriedServer(req, shard))
	view.SetRemaining(req.Deadline() - now)
	view.SetJitter(l.RandomFloat())
	wait, ok := l.RetryPolicy().Retry(view)
	shard.SetNeedsToken(ok)
	shard.SetNotBefore(now + wait)
	return ok
}

// hasUntriedServer reports whether a server of the shard has not been tried yet.
func hasUntriedServer(req *reqs.Row, shard *shards.Row) bool {
	servers := req.View().ServersOf(shard.Service())
	return slices.ContainsFunc(servers, func(r lagoon.Replica) bool {
		return !slices.Contains(shard.Excluded(), r.ID()) && !slices.Contains(shard.RefusedBy(), r.ID()) && !slices.Contains(shard.LostBy(), r.ID())
	})
}
