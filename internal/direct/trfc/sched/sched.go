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
// routes with a higher priority, then the oldest. Among requests on which an admission policy
// decided, nearly complete ones come before the oldest.
package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/admit"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/blame"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/choose"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/costs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/finish"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/hedge"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/leave"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/limit"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/quota"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/slots"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/timely"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/versn"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// latenessFactor is the ratio of expected delay to remaining time above which a
// response is considered too late. The load behind the estimate may be a tenth of a
// second old. With a lower factor, shards of servers that are barely too busy are
// dropped although they would have been in time.
const latenessFactor = 1.2

// nearlyComplete is the share of the shards of a gathered request above which its last ones come
// before the first ones of others: most of its work would be lost without them.
const nearlyComplete = 0.5

// recheckInterval is the time until pending attempts are considered again when
// no other event causes a tick.
const recheckInterval = 5 * time.Millisecond

// System schedules attempts. The zero value is ready to use.
type System struct {
	pending     []lagoon.RowID // a buffer that is reused in each tick
	waiting     map[string]int // the attempts of each service that found no token in this tick; reused in each tick
	held        map[string]int // the attempts of each service that wait for servers which pause or have used up their limits; reused in each pass
	nextRecheck time.Duration  // the time of the recheck timer
}

// Name returns the system's name.
func (*System) Name() string { return "sched" }

// Run starts the pending attempts.
func (s *System) Run(l *loop.Loop, now time.Duration) {
	if len(l.Queue()) == 0 {
		return
	}
	if s.waiting == nil {
		s.waiting, s.held = map[string]int{}, map[string]int{}
	}
	clear(s.waiting)
	clear(s.held)
	s.pending = append(s.pending[:0], l.Queue()...)
	l.SetQueue(l.Queue()[:0])
	slices.SortStableFunc(s.pending, func(a, b lagoon.RowID) int { return compare(l, a, b, now) })
	// Unservable requests are found before any of their attempts is sent.
	for _, id := range s.pending {
		if shard, req, ok := resolvePending(l, id); ok && shard.Inflight() == 0 {
			s.dropIfUnservable(l, shard, req, now)
		}
	}
	clear(s.held)
	for _, id := range s.pending {
		if shard, req, ok := resolvePending(l, id); ok && finish.Sufficient(req, req.CoveredShards()+req.PendingShards()) {
			s.schedule(l, id, shard, req, now)
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
func (s *System) dropIfUnservable(l *loop.Loop, shard *shards.Row, req *reqs.Row, now time.Duration) {
	if c := choose.Best(l, shard, req, now); !c.Found() && !c.Full() && !s.worthWaiting(l, shard, req, &c) {
		s.dropUnservable(l, shard, req, &c, now)
	}
}

// worthWaiting reports whether a request can meet its objective although all usable servers
// of a shard pause or have used up their limits, and counts it as one that waits for them. If it
// cannot, its caller is better off at another node, which the servers may not have asked for a
// pause or which has a share of their limits left.
func (s *System) worthWaiting(l *loop.Loop, shard *shards.Row, req *reqs.Row, c *choose.Choice) bool {
	returnsAt := c.ReturnsAfter(s.held[shard.Service()])
	if returnsAt == 0 {
		return false
	}
	latency := l.RouteStats().Ensure(req.Route().Name()).MeanLatency()
	if returnsAt+latency > min(req.CallerStart()+req.Route().Objective(), req.Deadline()) {
		return false
	}
	s.held[shard.Service()]++
	return true
}

// dropUnservable drops the pending attempt of a shard without a usable server.
func (s *System) dropUnservable(l *loop.Loop, shard *shards.Row, req *reqs.Row, c *choose.Choice, now time.Duration) {
	reason := "no server is available"
	if returnsAt := c.ReturnsAfter(s.held[shard.Service()]); returnsAt > 0 {
		shard.SetReturnsAt(returnsAt)
		reason = "its servers asked for a pause or have used up their limits; one can take it in " + (returnsAt - now).Round(time.Millisecond).String()
	}
	dropAttempt(l, shard, req, reason)
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

// compare orders requests that can meet their objective first, then by their rank, then
// by age.
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
	return cmp.Or(cmp.Compare(reqA.Rank(), reqB.Rank()), compareGoverned(reqA, reqB), cmp.Compare(shardA.QueuedAt(), shardB.QueuedAt()))
}

// compareGoverned orders the requests on which an admission policy decided: the last missing
// shards of nearly complete ones first, and requests whose callers came back sooner than told
// last. Other requests are equal.
func compareGoverned(a, b *reqs.Row) int { return cmp.Compare(turn(a), turn(b)) }

// turn returns the place of a request in that order.
func turn(req *reqs.Row) int {
	switch {
	case !req.Governed():
		return 1
	case req.Returning():
		return 2
	case len(req.Shards()) > 1 && float64(req.CoveredShards()) >= nearlyComplete*float64(len(req.Shards())):
		return 0
	}
	return 1
}

// missesObjective reports whether an attempt that starts now is likely to miss the
// request's objective.
func missesObjective(l *loop.Loop, req *reqs.Row, now time.Duration) bool {
	return now-req.CallerStart()+hedge.Delay(l, req.Route()) >= req.Route().Objective()
}

func (s *System) schedule(l *loop.Loop, id lagoon.RowID, shard *shards.Row, req *reqs.Row, now time.Duration) {
	if (len(shard.Attempts()) > 0 || (req.Governed() && now > shard.QueuedAt())) && !timely.Enough(l, req, now) {
		dropAttempt(l, shard, req, "too little time is left for a response")
		return
	}
	if now < shard.NotBefore() {
		l.Enqueue(id)
		return
	}
	switch {
	case blame.Verdict(l, req, shard.Service(), now) == lagoon.VerdictDeadly:
		dropAttempt(l, shard, req, "the request is known to end the servers of the service")
		return
	case blame.Hold(l, req, shard, now):
		l.Enqueue(id)
		return
	}
	c := choose.Best(l, shard, req, now)
	replica, estimate := c.Replica(), c.Estimate()
	switch {
	case c.Found() && slots.TooLate(l, req, &estimate, c.Wait(), now):
		dropAttempt(l, shard, req, "no server can respond before the deadline")
	case c.Found() && respondsTooLate(l, shard, req, &replica, now):
		dropAttempt(l, shard, req, "its servers are too busy to answer in time")
	case c.Found() && !quota.Renew(l, shard.Request(), req, now):
		l.Enqueue(id)
	case c.Found() && shard.NeedsToken() && req.Returning():
		dropAttempt(l, shard, req, "its caller came back sooner than told, which leaves it no retry budget")
	case c.Found() && takeToken(l, shard):
		start(l, id, shard, req, c, now)
	case c.Found() && now-req.CallerStart() >= req.Route().Objective() && sufficientWithout(shard, req):
		dropAttempt(l, shard, req, "the retry budget is used up")
	case c.Found() && !finish.MayRun(l, req) && !s.coveredSoon(l, shard, req, now):
		dropAttempt(l, shard, req, "the retry budget does not cover it soon")
	case c.Found() || c.Full() || s.worthWaiting(l, shard, req, &c):
		l.Enqueue(id)
	default:
		s.dropUnservable(l, shard, req, &c, now)
	}
}

// coveredSoon reports whether the retry budget is expected to have a token for an attempt,
// after those for the attempts that come before it, within the time of one objective. The
// next request of the caller needs no token, so it gains nothing by waiting longer.
func (s *System) coveredSoon(l *loop.Loop, shard *shards.Row, req *reqs.Row, now time.Duration) bool {
	s.waiting[shard.Service()]++
	budget := l.Budgets().Ensure(shard.Service())
	perSecond := budget.PerSecond() * math.Exp(-float64(now-budget.RefilledAt())/float64(admit.RefillTime))
	missing := float64(s.waiting[shard.Service()]) - budget.TokensRef().Available()
	limit := min(shard.QueuedAt()+req.Route().Objective(), req.Deadline())
	return missing <= perSecond*(limit-now).Seconds()
}

// respondsTooLate reports whether a server's response is expected only after the
// request has been answered without it.
func respondsTooLate(l *loop.Loop, shard *shards.Row, req *reqs.Row, r *lagoon.Replica, now time.Duration) bool {
	if len(req.Route().Shards()) == 0 || !sufficientWithout(shard, req) {
		return false
	}
	delay, known := choose.Delay(l, shard, req, r, now)
	if !known {
		return false
	}
	respond, remaining := l.PartialPolicy().Respond(finish.PartialView(req, now))
	if respond {
		return false // the request is late already and takes any response
	}
	return float64(delay) > latenessFactor*float64(remaining)
}

// sufficientWithout reports whether the request can still be answered if the pending
// attempt of a shard is dropped.
func sufficientWithout(shard *shards.Row, req *reqs.Row) bool {
	return shard.Inflight() > 0 || finish.Sufficient(req, req.CoveredShards()+req.PendingShards()-1)
}

// takeToken takes a token from the retry budget if the next attempt needs one,
// and reports whether the attempt may be sent.
func takeToken(l *loop.Loop, shard *shards.Row) bool {
	return !shard.NeedsToken() || l.Budgets().Ensure(shard.Service()).TokensRef().Take()
}

// start records an attempt at a server and sends it.
func start(l *loop.Loop, id lagoon.RowID, shard *shards.Row, req *reqs.Row, c choose.Choice, now time.Duration) {
	r := c.Replica()
	h := choose.HealthOf(l, &r)
	if h.Inflight() == 0 {
		h.SetSilentSince(now)
	}
	h.SetInflight(h.Inflight() + 1)
	choose.CountColdAttempt(l, &r, h, now)
	limitedUntil := limit.Count(l, &r, now)
	attemptID, attempt := l.Attempts().Add("")
	attempt.SetRequest(shard.Request())
	attempt.SetShard(id)
	attempt.SetService(shard.Service())
	attempt.SetServer(r.ID())
	attempt.SetStartedMilli(r.StartedMilli())
	attempt.SetRoute(req.Route().Name())
	attempt.SetZone(r.Zone())
	attempt.SetSentAt(now)
	attempt.SetParallel(shard.Inflight() > 0)
	estimate := c.Estimate()
	costs.Sent(l, attemptID, attempt, shard, req, &estimate, c.Wait(), h, now)
	versn.Started(l, attempt, &r, now)
	if blame.Verdict(l, req, shard.Service(), now) != lagoon.VerdictNone {
		attempt.SetSuspect(true)
		h.SetSuspects(h.Suspects() + 1)
	}
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
	sendAttempt(l, attemptID, attempt, req, r, limitedUntil, now)
	if req.Route().Idempotent() {
		l.WakeAt(now+hedge.FirstCheck(l, req.Route(), attempt), timers.HedgeDelay, attemptID)
	}
}

// sendAttempt sends an attempt, before sendBefore unless that is 0.
func sendAttempt(l *loop.Loop, id lagoon.RowID, attempt *tries.Row, req *reqs.Row, r lagoon.Replica, sendBefore, now time.Duration) {
	request := req.Request()
	var a lagoon.Attempt
	a.SetID(request.ID())
	a.SetReplica(r)
	a.SetTimeout(req.Deadline() - now)
	a.SetRecentConnOnly(!req.Route().Idempotent())
	a.SetCloseConn(choose.ConnectionShare(l, r.Service()) < 1)
	a.SetSendBefore(earlier(earlier(leave.LastUse(l, &r, now), quota.SendBefore(l, req, now)), sendBefore))
	a.SetPayload(request.Payload())
	a.SetCheckEnd(blame.Identifiable(req))
	a.SetOrganisation(req.Organisation())
	a.SetIdentified(req.View().Identified() || l.View().Identified()) // a key is not forwarded once the node knows that it is one
	l.StartAttempt(id, attempt, a)
}

// earlier returns the earlier of two times, of which 0 means none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}
