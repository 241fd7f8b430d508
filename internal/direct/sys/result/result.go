// Package result processes the results of attempts: it updates server health and
// route statistics, stores answers, and queues a retry where that is safe and
// within the limits.
//
// # Usage
//
//	systems = append(systems, result.System{})
//
// A request that is not idempotent is retried only after a result that says that
// it did not run. A refused request is retried while time is left, if necessary
// at a server that refused it before; package sched takes the token for it from
// the retry budget.
package result

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/calls"
	"github.com/lagoontrail/lagoon/internal/direct/flow"
	"github.com/lagoontrail/lagoon/internal/direct/health"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

// Weights of a new sample in a moving average.
const (
	latencyWeight = 0.25 // a server's excess latency, which a few answers determine
	meanWeight    = 0.05 // a route's mean latency, over about the last 20 answers
	failureWeight = 0.2  // a server's failure rate, which rises within a second of usual load
)

// Bounds of a sample, relative to the route's mean latency.
const (
	minExcess = -0.6 // of the excess latency of a server
	maxExcess = 6.0  // of the excess latency of a server
	maxMeans  = 4    // of the latency that enters the route's mean, to limit the effect of stragglers
)

// Backoff of servers that fail.
const (
	failureLimit        = 3                      // consecutive failures; one lost answer and its retry may count as two
	connectFailureLimit = 2                      // consecutive failures to connect
	initialBackoff      = 250 * time.Millisecond // doubles with each further failure
	maxBackoff          = time.Second            // a server that recovers is used again within a second
)

// maxMisdirected bounds the attempts for a shard that did not reach the intended
// server. They cause no work at the servers and don't count as servers tried.
const maxMisdirected = 4

// System processes the results of attempts.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "result" }

// Run processes the results of this tick and ends the requests whose caller
// disconnected.
func (System) Run(l *flow.Flow, now time.Duration) {
	for _, id := range l.Completed() {
		s, ok := l.Attempts().Resolve(id)
		if !ok {
			continue
		}
		recordHealth(l, s, now)
		if !s.RequestDone() {
			updateShard(l, s, now)
		}
		l.Attempts().Remove(id)
	}
	removeGoneServers(l)
	for _, id := range l.Abandoned() {
		if c, ok := l.Requests().Resolve(id); ok && !c.Decided() {
			var r lagoon.Ruling
			r.SetEnd(lagoon.EndGone)
			r.SetReason("the caller disconnected")
			c.SetResponse(r)
			c.SetDecided(true)
			l.MarkDecided(id)
		}
	}
}

// sweepThreshold is the number of health rows in excess of the announced servers
// at which stale rows are removed.
const sweepThreshold = 64

// removeGoneServers removes the health of servers that are no longer announced
// once there are enough of them.
func removeGoneServers(l *flow.Flow) {
	known := l.View().Servers()
	if l.Health().Len() < len(known)+sweepThreshold {
		return
	}
	for i := l.Health().Len() - 1; i >= 0; i-- {
		if id := l.Health().Key(i); !known[id] && l.Health().At(i).Inflight() == 0 {
			l.Health().Drop(id)
		}
	}
}

// recordHealth updates the health of the server and the route's statistics.
func recordHealth(l *flow.Flow, s *tries.Row, now time.Duration) {
	h, ok := l.Health().Find(s.Server())
	if !ok {
		return
	}
	h.SetInflight(max(0, h.Inflight()-1))
	v := s.Result()
	if v.Slots() > 0 {
		h.SetReportedLoad(float64(max(0, v.Running()+v.Waiting()-h.Inflight()-1)))
		h.SetReportedAt(now)
	}
	switch v.Status() {
	case lagoon.StatusOK:
		h.SetConnectFailed(false)
		h.SetConsecutiveFailures(0)
		h.SetBackoffUntil(0)
		h.SetFailureRate(h.FailureRate() * (1 - failureWeight))
		h.SetSilentSince(now)
		recordLatency(l, s, h, now)
	case lagoon.StatusRefused:
		if v.Misplaced() {
			h.SetAddressReusedStart(h.StartedMilli())
			l.Note("server_misplaced", s.Server(), "", "another server answered at its address: "+v.Detail())
			break
		}
		h.SetFailureRate(h.FailureRate() + failureWeight*(1-h.FailureRate()))
		h.SetSampledAt(now)
	case lagoon.StatusNotSent:
		h.SetConnectFailed(true)
		recordFailure(l, s, h, now, connectFailureLimit)
	case lagoon.StatusUnknown, lagoon.StatusFailed:
		if s.RequestDone() && s.Elapsed() < initialBackoff {
			break // canceled early, which says nothing about the server
		}
		h.SetConnectFailed(false)
		recordLatency(l, s, h, now)
		recordFailure(l, s, h, now, failureLimit)
	}
}

// recordLatency adds the latency of an attempt to the averages.
func recordLatency(l *flow.Flow, s *tries.Row, h *health.Row, now time.Duration) {
	r := l.RouteStats().Ensure(s.Route())
	if r.MeanLatency() == 0 {
		r.SetMeanLatency(s.Elapsed())
	}
	sample := float64(s.Elapsed())/float64(r.MeanLatency()) - 1
	sample = min(max(sample, minExcess), maxExcess)
	h.SetExcessLatency(h.ExcessLatency() + latencyWeight*(sample-h.ExcessLatency()))
	h.SetSampledAt(now)
	capped := min(s.Elapsed(), maxMeans*r.MeanLatency())
	r.SetMeanLatency(r.MeanLatency() + time.Duration(meanWeight*float64(capped-r.MeanLatency())))
	if !s.Parallel() {
		r.LatenciesRef().Record(s.Elapsed(), now)
	}
}

// recordFailure counts a failure and starts the server's backoff after a few in
// a row.
func recordFailure(l *flow.Flow, s *tries.Row, h *health.Row, now time.Duration, limit int) {
	h.SetConsecutiveFailures(h.ConsecutiveFailures() + 1)
	h.SetFailureRate(h.FailureRate() + failureWeight*(1-h.FailureRate()))
	excess := h.ConsecutiveFailures() - limit
	if excess < 0 {
		return
	}
	backoff := min(initialBackoff<<min(excess, 4), maxBackoff)
	h.SetBackoffUntil(now + backoff)
	v := s.Result()
	l.Note("server_rested", s.Server(), "", "no requests for "+backoff.String()+" after consecutive failures; last failure: "+v.Detail())
}

// updateShard applies the result of an attempt to its shard.
func updateShard(l *flow.Flow, s *tries.Row, now time.Duration) {
	c, ok := l.Requests().Resolve(s.Request())
	if !ok || c.Decided() {
		return
	}
	sh, ok := l.Shards().Resolve(s.Shard())
	if !ok {
		return
	}
	v := s.Result()
	sh.SetRunning(sh.Running() - 1)
	c.SetTrace(append(c.Trace(), " "+s.Service()+"@"+s.Server()+"="+v.Status().String()+"/"+s.Elapsed().Round(time.Millisecond).String()...))
	if !v.Status().NotRun() {
		c.SetMayHaveRun(true)
	}
	if sh.State() == shards.Covered || sh.State() == shards.Missing {
		return
	}
	l.MarkChanged(s.Request())
	recordServer(sh, s, v)
	if reachedServer(v) && v.Status().NotRun() {
		l.Budgets().Ensure(s.Service()).SetRefusedAt(now)
	}
	if v.Status() == lagoon.StatusOK {
		sh.SetState(shards.Covered)
		sh.SetReply(v.Reply())
		sh.SetPending(false)
		c.SetCovered(c.Covered() + 1)
		c.SetPending(c.Pending() - 1)
		return
	}
	sh.SetDetail(v.Status().String() + ": " + v.Detail())
	if v.Status() == lagoon.StatusFailed {
		sh.SetReply(v.Reply())
	}
	if sh.Pending() || (sh.Running() > 0 && !v.Status().NotRun()) {
		return
	}
	if shouldRetry(l, c, sh, v, now) {
		sh.SetPending(true)
		sh.SetCause("after " + sh.Detail())
		sh.SetQueuedAt(now)
		if sh.Running() == 0 {
			sh.SetState(shards.Waiting)
		}
		l.Enqueue(s.Shard())
		request := c.Ask()
		l.Note("attempt_repeated", s.Service(), request.ID(), "attempt at "+s.Server()+" ended with "+sh.Detail())
		return
	}
	if sh.Running() > 0 {
		return
	}
	sh.SetState(shards.Missing)
	c.SetPending(c.Pending() - 1)
}

// recordServer updates which servers count as tried and which may be retried.
func recordServer(sh *shards.Row, s *tries.Row, v lagoon.Verdict) {
	switch {
	case !reachedServer(v):
		if s.FirstToServer() {
			sh.SetServerCount(sh.ServerCount() - 1) // only servers that were reached count
		}
	case v.Status().NotRun():
		sh.SetExcluded(slices.DeleteFunc(sh.Excluded(), func(id string) bool { return id == s.Server() }))
		sh.SetRefusedBy(append(sh.RefusedBy(), s.Server()))
		sh.SetRefusals(sh.Refusals() + 1)
	}
}

// reachedServer reports whether the attempt reached the intended server.
func reachedServer(v lagoon.Verdict) bool {
	return v.Status() != lagoon.StatusNotSent && !v.Misplaced()
}

// shouldRetry reports whether another attempt may follow a failed one.
func shouldRetry(l *flow.Flow, c *calls.Row, sh *shards.Row, v lagoon.Verdict, now time.Duration) bool {
	serversLeft := sh.ServerCount() < c.Route().Attempts()
	switch {
	case now >= c.Deadline():
		return false
	case !reachedServer(v):
		return len(sh.Excluded()) <= maxMisdirected && (serversLeft || len(sh.RefusedBy()) > 0)
	case v.Status().NotRun():
		return retryRefused(l, c, sh, now)
	case !c.Route().Idempotent() || v.Final() || !(serversLeft || len(sh.RefusedBy()) > 0):
		return false
	}
	sh.SetNeedsToken(true)
	return true
}

// retryRefused reports whether a refused request is retried, and records the
// earliest time for it.
func retryRefused(l *flow.Flow, c *calls.Row, sh *shards.Row, now time.Duration) bool {
	var v lagoon.ReaskView
	v.SetRefusals(sh.Refusals())
	v.SetOthers(sh.ServerCount() < c.Route().Attempts() && hasUntriedServer(c, sh))
	v.SetLeft(c.Deadline() - now)
	v.SetNoise(l.RandomFloat())
	wait, ok := l.Reasker().Again(v)
	sh.SetNeedsToken(ok)
	sh.SetNotBefore(now + wait)
	return ok
}

// hasUntriedServer reports whether a server of the shard has not been tried yet.
func hasUntriedServer(c *calls.Row, sh *shards.Row) bool {
	servers := c.View().ServersOf(sh.Service())
	return slices.ContainsFunc(servers, func(r lagoon.Replica) bool {
		return !slices.Contains(sh.Excluded(), r.ID()) && !slices.Contains(sh.RefusedBy(), r.ID())
	})
}
