// Package sched chooses a server for each pending attempt and starts the
// attempt.
//
// # Usage
//
//	systems = append(systems, &sched.System{})
//
// An attempt waits while every usable server already has as many attempts in
// flight from this node as the node's share of connections allows. A hedge, and a
// retry after a failure or refusal, also waits for a token of the retry budget. A
// shard whose best server is too busy to respond in time is dropped if the response
// may be partial, since a request sent there would only delay the requests queued
// behind it. Requests that can still meet their objective go first, then those of
// routes with a higher priority, then the oldest.
package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/health"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/finish"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/hedge"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// Time constants of the exponential decay of observations.
const (
	latencyDecay = 5 * time.Second        // for latency and failures, so that a server that was slow is tried again
	loadDecay    = 100 * time.Millisecond // for a server's reported load: the time of a few responses
)

// connShare is the share of a server's connections that the known nodes use. The
// rest is for nodes that are not known yet.
const connShare = 0.85

// latenessFactor is the ratio of expected delay to remaining time above which a
// response is considered too late. The load behind the estimate may be as old as
// loadDecay. With a lower factor, shards of servers that are barely too busy are
// dropped although they would have been in time.
const latenessFactor = 1.2

// recheckInterval is the time until pending attempts are considered again when
// no other event causes a tick.
const recheckInterval = 5 * time.Millisecond

// System schedules attempts. The zero value is ready to use.
type System struct {
	pending     []lagoon.RowID // a buffer that is reused in each tick
	nextRecheck time.Duration  // the time of the recheck timer
}

// Name returns the system's name.
func (*System) Name() string { return "sched" }

// Run starts the pending attempts.
func (s *System) Run(l *loop.Loop, now time.Duration) {
	if len(l.Queue()) == 0 {
		return
	}
	s.pending = append(s.pending[:0], l.Queue()...)
	l.SetQueue(l.Queue()[:0])
	slices.SortStableFunc(s.pending, func(a, b lagoon.RowID) int { return compare(l, a, b, now) })
	// Unservable requests are found before any of their attempts is sent.
	for _, id := range s.pending {
		if shard, req, ok := resolvePending(l, id); ok && shard.Inflight() == 0 {
			dropIfUnservable(l, shard, req, now)
		}
	}
	for _, id := range s.pending {
		if shard, req, ok := resolvePending(l, id); ok && finish.Sufficient(req, req.CoveredShards()+req.PendingShards()) {
			schedule(l, id, shard, req, now)
		}
	}
	if at := recheckTime(l, now); len(l.Queue()) > 0 && (s.nextRecheck <= now || at < s.nextRecheck) {
		s.nextRecheck = at              // one timer at a time; otherwise each tick would start another series of timers
		l.WakeAt(at, timers.Recheck, 0) // only causes a tick
	}
}

// recheckTime returns when the pending attempts are considered again.
func recheckTime(l *loop.Loop, now time.Duration) time.Duration {
	at := now + recheckInterval
	for _, id := range l.Queue() {
		if shard, ok := l.Shards().Resolve(id); ok && shard.NotBefore() > now {
			at = min(at, shard.NotBefore())
		}
	}
	return at
}

// resolvePending returns a shard with a pending attempt, and its request.
func resolvePending(l *loop.Loop, id lagoon.RowID) (*shards.Row, *reqs.Row, bool) {
	shard, ok := l.Shards().Resolve(id)
	if !ok || !shard.AttemptPending() {
		return nil, nil, false
	}
	req, ok := l.Requests().Resolve(shard.Request())
	return shard, req, ok && !req.Decided()
}

// dropIfUnservable drops a shard's attempt if no server may respond to it.
func dropIfUnservable(l *loop.Loop, shard *shards.Row, req *reqs.Row, now time.Duration) {
	if _, found, full := chooseServer(l, shard, req, now); !found && !full {
		dropAttempt(l, shard, req, "no server is available")
	}
}

// dropAttempt drops the pending attempt. The shard becomes missing unless another
// attempt is in flight.
func dropAttempt(l *loop.Loop, shard *shards.Row, req *reqs.Row, reason string) {
	shard.SetAttemptPending(false)
	if shard.Inflight() > 0 {
		return
	}
	shard.SetState(shards.Missing)
	if shard.Detail() != "" {
		reason += ", after " + shard.Detail()
	}
	shard.SetDetail(reason)
	req.SetPendingShards(req.PendingShards() - 1)
	l.MarkChanged(shard.Request())
}

// compare orders requests that can meet their objective first, then by the
// route's priority, then by age.
func compare(l *loop.Loop, a, b lagoon.RowID, now time.Duration) int {
	shardA, okShardA := l.Shards().Resolve(a)
	shardB, okShardB := l.Shards().Resolve(b)
	if !okShardA || !okShardB {
		return 0
	}
	reqA, okReqA := l.Requests().Resolve(shardA.Request())
	reqB, okReqB := l.Requests().Resolve(shardB.Request())
	if !okReqA || !okReqB {
		return 0
	}
	if lateA, lateB := missesObjective(l, reqA, now), missesObjective(l, reqB, now); lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(reqA.Route().Priority(), reqB.Route().Priority()), cmp.Compare(shardA.QueuedAt(), shardB.QueuedAt()))
}

// missesObjective reports whether an attempt that starts now is likely to miss the
// request's objective.
func missesObjective(l *loop.Loop, req *reqs.Row, now time.Duration) bool {
	return now-req.CallerStart()+hedge.Delay(l, req.Route()) >= req.Route().Objective()
}

func schedule(l *loop.Loop, id lagoon.RowID, shard *shards.Row, req *reqs.Row, now time.Duration) {
	if now < shard.NotBefore() {
		l.Enqueue(id)
		return
	}
	replica, found, full := chooseServer(l, shard, req, now)
	switch {
	case found && respondsTooLate(l, shard, req, &replica, now):
		dropAttempt(l, shard, req, "its servers are too busy to answer in time")
	case found && takeToken(l, shard):
		start(l, id, shard, req, replica, now)
	case found && now-req.CallerStart() >= req.Route().Objective():
		dropAttempt(l, shard, req, "the retry budget is used up")
	case found || full:
		l.Enqueue(id)
	default:
		dropAttempt(l, shard, req, "no server is available")
	}
}

// respondsTooLate reports whether a server's response is expected only after the
// request has been answered without it.
func respondsTooLate(l *loop.Loop, shard *shards.Row, req *reqs.Row, r *lagoon.Replica, now time.Duration) bool {
	if len(req.Route().Shards()) == 0 || (shard.Inflight() == 0 && !finish.Sufficient(req, req.CoveredShards()+req.PendingShards()-1)) {
		return false
	}
	h := healthOf(l, r)
	if now-h.ReportedAt() > loadDecay {
		return false // its load is not known
	}
	respond, remaining := l.PartialPolicy().Respond(finish.PartialView(req, now))
	if respond {
		return false // the request is late already and takes any response
	}
	self := l.View().Self()
	mean := l.RouteStats().Ensure(req.Route().Name()).MeanLatency()
	delay := l.ReplicaPolicy().Delay(replicaView(l, req, r, h, self.Zone(), now))
	return delay*float64(mean) > latenessFactor*float64(remaining)
}

// takeToken takes a token from the retry budget if the next attempt needs one,
// and reports whether the attempt may be sent.
func takeToken(l *loop.Loop, shard *shards.Row) bool {
	return !shard.NeedsToken() || l.Budgets().Ensure(shard.Service()).TokensRef().Take()
}

// The ranks of a server for an attempt, best first.
const (
	rankUsable    = iota // it has not been tried yet, or it lost the response
	rankRefused          // it refused this request
	rankBackedOff        // it is in backoff after failures
	rankExcluded         // it must not be used
)

// chooseServer returns the best usable server. full reports whether a server that is
// not in backoff is unusable only because this node has reached its share of the
// server's connections or of its rate limit while cold.
func chooseServer(l *loop.Loop, shard *shards.Row, req *reqs.Row, now time.Duration) (best lagoon.Replica, found, full bool) {
	view := l.View()
	servers := view.ServersOf(shard.Service())
	self := view.Self()
	lowestCost, bestRank := math.Inf(1), rankExcluded
	for i := range servers {
		r := &servers[i]
		h := healthOf(l, r)
		rank := rankOf(shard, req, r, h, now)
		if rank >= rankExcluded || rank > bestRank {
			continue
		}
		if h.Inflight() >= maxInflight(l, shard.Service()) || !coldAllowed(l, r, h, now) {
			full = full || rank < rankBackedOff
			continue
		}
		cost := l.ReplicaPolicy().Cost(replicaView(l, req, r, h, self.Zone(), now))
		if rank < bestRank || cost < lowestCost {
			lowestCost, bestRank, best, found = cost, rank, *r, true
		}
	}
	// It is better to wait for a server without capacity than to use one in backoff.
	if full && bestRank == rankBackedOff {
		return lagoon.Replica{}, false, true
	}
	return best, found, full
}

// rankOf returns a server's rank for an attempt. The route limits the number of
// servers per shard; a server that refused the request or lost its response may be
// retried. When no other server is left, one in backoff gets one attempt at a time,
// as it may still respond, unless the node failed to connect to it.
func rankOf(shard *shards.Row, req *reqs.Row, r *lagoon.Replica, h *health.Row, now time.Duration) int {
	refused := slices.Contains(shard.RefusedBy(), r.ID())
	tried := refused || slices.Contains(shard.LostBy(), r.ID())
	switch {
	case slices.Contains(shard.Excluded(), r.ID()),
		h.AddressReusedStart() != 0 && h.AddressReusedStart() == r.StartedMilli(),
		!tried && shard.TriedServers() > 0 && shard.TriedServers() >= req.Route().MaxAttempts():
		return rankExcluded
	case h.BackoffUntil() <= now && refused:
		return rankRefused
	case h.BackoffUntil() <= now:
		return rankUsable
	case h.ConnectFailed() || h.Inflight() > 0:
		return rankExcluded
	}
	return rankBackedOff
}

// healthOf returns the health of a server and resets it when the server has
// restarted.
func healthOf(l *loop.Loop, r *lagoon.Replica) *health.Row {
	h := l.Health().Ensure(r.ID())
	if h.StartedMilli() != r.StartedMilli() {
		inflight := h.Inflight()
		*h = health.Row{}
		h.SetStartedMilli(r.StartedMilli())
		h.SetInflight(inflight)
	}
	return h
}

// maxInflight returns the number of attempts that this node may have in flight at
// one server: its share of the server's connections, at least 1.
func maxInflight(l *loop.Loop, service string) int {
	return max(1, int(min(connectionShare(l, service), math.MaxInt32)))
}

// connectionShare returns this node's share of each server's connections. It is
// below 1 when there are more nodes than connections.
func connectionShare(l *loop.Loop, service string) float64 {
	pool := l.View().Pool(service)
	if pool.MaxConns() == 0 {
		return math.Inf(1)
	}
	return connShare * float64(pool.MaxConns()) / max(l.View().ShareDivisor(), 1)
}

// coldAllowed reports whether the rate limit of a cold server allows an attempt
// by this node. It is true for servers that are not cold.
func coldAllowed(l *loop.Loop, r *lagoon.Replica, h *health.Row, now time.Duration) bool {
	pool := l.View().Pool(r.Service())
	return pool.ColdPerSecond() == 0 || l.View().ColdUntilOf(r.ID()) <= now || h.NextColdAttempt() <= now
}

// countColdAttempt counts an attempt against this node's share of a cold server's
// rate limit.
func countColdAttempt(l *loop.Loop, r *lagoon.Replica, h *health.Row, now time.Duration) {
	pool := l.View().Pool(r.Service())
	if pool.ColdPerSecond() == 0 || l.View().ColdUntilOf(r.ID()) <= now {
		return
	}
	interval := time.Duration(float64(time.Second) * max(l.View().ShareDivisor(), 1) / pool.ColdPerSecond())
	h.SetNextColdAttempt(max(now, h.NextColdAttempt()) + interval)
}

func replicaView(l *loop.Loop, req *reqs.Row, r *lagoon.Replica, h *health.Row, zone string, now time.Duration) lagoon.ReplicaView {
	var v lagoon.ReplicaView
	v.SetSlots(r.Slots())
	v.SetInflight(h.Inflight())
	v.SetQueued(h.ReportedLoad() * decay(now-h.ReportedAt(), loadDecay))
	v.SetRelativeLatency(1 + h.ExcessLatency()*decay(now-h.SampledAt(), latencyDecay))
	v.SetSameZone(r.Zone() == zone)
	v.SetCold(l.View().ColdUntilOf(r.ID()) > now)
	v.SetDraining(r.Draining())
	v.SetFailureRate(h.FailureRate() * decay(now-h.SampledAt(), latencyDecay))
	if mean := float64(l.RouteStats().Ensure(req.Route().Name()).MeanLatency()); mean > 0 {
		v.SetRemaining(float64(max(req.CallerStart()+req.Route().Objective()-now, 0)) / mean)
		if h.Inflight() > 0 {
			v.SetSilence(float64(now-h.SilentSince()) / mean)
		}
	}
	v.SetJitter(l.RandomFloat())
	return v
}

func decay(age, constant time.Duration) float64 { return math.Exp(-float64(age) / float64(constant)) }

// start records an attempt at a server and sends it.
func start(l *loop.Loop, id lagoon.RowID, shard *shards.Row, req *reqs.Row, r lagoon.Replica, now time.Duration) {
	h := healthOf(l, &r)
	if h.Inflight() == 0 {
		h.SetSilentSince(now)
	}
	h.SetInflight(h.Inflight() + 1)
	countColdAttempt(l, &r, h, now)
	attemptID, attempt := l.Attempts().Add("")
	attempt.SetRequest(shard.Request())
	attempt.SetShard(id)
	attempt.SetService(shard.Service())
	attempt.SetServer(r.ID())
	attempt.SetRoute(req.Route().Name())
	attempt.SetSentAt(now)
	attempt.SetParallel(shard.Inflight() > 0)
	shard.SetAttemptPending(false)
	shard.SetState(shards.Running)
	shard.SetNeedsToken(false)
	isServer := func(id string) bool { return id == r.ID() }
	tried := slices.ContainsFunc(shard.RefusedBy(), isServer) || slices.ContainsFunc(shard.LostBy(), isServer)
	attempt.SetFirstToServer(!tried)
	if tried {
		shard.SetRefusedBy(slices.DeleteFunc(shard.RefusedBy(), isServer))
		shard.SetLostBy(slices.DeleteFunc(shard.LostBy(), isServer))
	} else {
		shard.SetTriedServers(shard.TriedServers() + 1)
	}
	shard.SetExcluded(append(shard.Excluded(), r.ID()))
	shard.SetInflight(shard.Inflight() + 1)
	shard.SetAttempts(append(shard.Attempts(), attemptID))
	sendAttempt(l, attemptID, attempt, req, r, now)
	if req.Route().Idempotent() {
		l.WakeAt(now+hedge.Delay(l, req.Route()), timers.HedgeDelay, attemptID)
	}
}

func sendAttempt(l *loop.Loop, id lagoon.RowID, attempt *tries.Row, req *reqs.Row, r lagoon.Replica, now time.Duration) {
	request := req.Request()
	var a lagoon.Attempt
	a.SetID(request.ID())
	a.SetReplica(r)
	a.SetTimeout(req.Deadline() - now)
	a.SetRecentConnOnly(!req.Route().Idempotent())
	a.SetCloseConn(connectionShare(l, r.Service()) < 1)
	a.SetPayload(request.Payload())
	l.StartAttempt(id, attempt, a)
}
