// Package admit matches each new request to a route and immediately refuses
// requests that certainly cannot be served.
//
// # Usage
//
//	systems = append(systems, admit.System{})
package admit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/blame"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/quota"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// responseMargin is reserved for the response on its way back to the caller: a few
// milliseconds of network and scheduling delay.
const responseMargin = 12 * time.Millisecond

// Values of Retry-After for refused requests.
const (
	retryAfterStart    = 300 * time.Millisecond // a node that just started reads the catalog and the servers from the registry, which may be slow
	retryAfterNoServer = 400 * time.Millisecond // a new server of the service is in all nodes' views after a few heartbeats
)

// Times for a request that arrives before the node has read the catalog and the list
// of servers, which usually takes milliseconds after the start.
const (
	maxSyncWait         = 150 * time.Millisecond // then the request is refused
	syncRecheckInterval = 5 * time.Millisecond   // between two checks
)

// goldenStep is the step of a low-discrepancy sequence over 0 to 1, the golden
// ratio less 1. It keeps each target's share of the requests close to its
// weight even over few requests.
const goldenStep = 0.6180339887498949

// budgetShare is the share of the global bound on extra attempts that the nodes
// use. The rest allows for nodes and servers counting attempts differently.
const budgetShare = 0.8

// burstShare is the share of a window's slack that may accumulate and be spent in
// one burst; the rest is added evenly over the window.
const burstShare = 0.4

// RefillTime is the time constant of the moving average of the tokens that are added to a
// retry budget. Without requests the average decays likewise.
const RefillTime = time.Second

// returnDivisor is the part of the objective after which a request counts as one that comes
// back: a caller that resolves an address and opens a connection takes less, one that waited
// for Retry-After takes more.
const returnDivisor = 3

// A service is overloaded if its servers refuse overloadShare of the attempts of this node and
// did so within busyTime. Below that, the retry budget covers most of what they refuse.
const (
	overloadShare = 0.3
	busyTime      = time.Second
)

// System admits requests.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "admit" }

// Run admits new requests and those that were waiting for the catalog and the list
// of servers.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, id := range l.Arrived() {
		if req, ok := l.Requests().Resolve(id); ok {
			req.SetView(l.View())
		}
		tryAdmit(l, id, now)
	}
	for _, id := range l.DueRows(timers.Recheck) {
		tryAdmit(l, id, now)
	}
}

// tryAdmit admits a request, or sets a timer to try again while the catalog or the
// list of servers has not been read and the request may still wait for them.
func tryAdmit(l *loop.Loop, id lagoon.RowID, now time.Duration) {
	req, ok := l.Requests().Resolve(id)
	switch {
	case !ok || req.Decided() || req.Route() != nil:
	case !l.View().Synced() && now-req.ArrivedAt() < maxSyncWait:
		l.WakeAt(now+syncRecheckInterval, timers.Recheck, id)
	default:
		admit(l, id, req, now)
	}
}

func admit(l *loop.Loop, id lagoon.RowID, req *reqs.Row, now time.Duration) {
	view := l.View()
	req.SetView(view)
	request := req.Request()
	if !view.Synced() {
		refuse(l, id, req, retryAfterStart, "the declarations are not known yet")
		return
	}
	route, ok := view.FindRoute(request.Host(), request.Path())
	switch {
	case !ok && !view.RegistryReachable():
		refuse(l, id, req, retryAfterNoServer, "no route is known, and newer declarations may exist while the registry does not answer")
		return
	case !ok:
		finish(l, id, req, lagoon.RequestNoRoute, "no route is declared for the host and path")
		return
	}
	organisation, ok := identify(l, id, req, route, now)
	if !ok {
		return
	}
	if row, ok := blame.Find(l, req); ok && row.RecordRef().Overall(now) == lagoon.VerdictDeadly {
		refuse(l, id, req, row.RecordRef().HeldFor(now), "the request is known to end the servers that run it")
		return
	}
	catalog := view.Catalog()
	limits := catalog.Limits()
	if maxBytes := limits.MaxBodyBytes(); maxBytes > 0 && request.BodySize() > maxBytes {
		finish(l, id, req, lagoon.RequestTooLarge, fmt.Sprintf("the body has %d bytes, %d are allowed", request.BodySize(), maxBytes))
		return
	}
	if !quota.Take(l, id, req, organisation, now) {
		return
	}
	req.SetRoute(route)
	timeout := route.Timeout()
	if request.Timeout() > 0 && (timeout == 0 || request.Timeout() < timeout) {
		timeout = request.Timeout()
	}
	req.SetCallerStart(req.ArrivedAt())
	if request.Timeout() > 0 {
		req.SetCallerStart(req.ArrivedAt() - l.RouteStats().Ensure(route.Name()).CallerElapsed(request.Timeout(), route.Timeout(), now))
	}
	req.SetDeadline(req.ArrivedAt() + max(timeout-responseMargin, 0))
	createShards(l, id, req, now)
}

// createShards adds the request's shards.
func createShards(l *loop.Loop, id lagoon.RowID, req *reqs.Row, now time.Duration) {
	services := req.Route().Shards()
	if len(services) == 0 {
		services = []string{pickTarget(l, req.Route())}
	}
	var ids []lagoon.RowID
	missing := 0
	for _, service := range services {
		shardID, shard := l.Shards().Add("")
		shard.SetRequest(id)
		shard.SetService(service)
		shard.SetQueuedAt(now)
		ids = append(ids, shardID)
		refillBudget(l, service, now)
		if len(req.View().ServersOf(service)) == 0 {
			shard.SetState(shards.Missing)
			shard.SetDetail("no server is announced")
			missing++
			continue
		}
		if blame.Verdict(l, req, service, now) == lagoon.VerdictDeadly {
			shard.SetState(shards.Missing)
			shard.SetDetail("the request is known to end the servers of the service")
			missing++
			continue
		}
		shard.SetAttemptPending(true)
		shard.SetAttemptReason("first")
		shard.SetNeedsToken(needsToken(l, req, service, now))
	}
	req.SetShards(ids)
	req.SetPendingShards(len(services) - missing)
	covered := float64(len(services)-missing) / float64(len(services))
	if missing > 0 && (covered < req.Route().MinCoverage() || missing == len(services)) {
		refuse(l, id, req, retryAfterNoServer, fmt.Sprintf("%d of %d services have no server for it", missing, len(services)))
		return
	}
	for _, shardID := range sendOrder(l, req, ids) {
		if shard, ok := l.Shards().Resolve(shardID); ok && shard.AttemptPending() {
			l.Enqueue(shardID)
		}
	}
	l.WakeAt(req.Deadline(), timers.Deadline, id)
	l.MarkChanged(id)
}

// sendOrder returns the order in which the attempts of a request are sent. That of a suspect begins
// anywhere, so that several suspects are not tried at the servers of the same service.
func sendOrder(l *loop.Loop, req *reqs.Row, ids []lagoon.RowID) []lagoon.RowID {
	if _, ok := blame.Find(l, req); !ok {
		return ids
	}
	first := int(l.RandomFloat() * float64(len(ids)))
	return append(slices.Clone(ids[first:]), ids[:first]...)
}

// needsToken reports whether the first attempt of a request for one service takes a token
// from the retry budget, because it looks as if its caller came back after a refusal while
// the service is overloaded. Such callers would displace those who have not been refused.
func needsToken(l *loop.Loop, req *reqs.Row, service string, now time.Duration) bool {
	if len(req.Route().Shards()) > 0 {
		return false
	}
	budget := l.Budgets().Ensure(service)
	overloaded := budget.RetriedAt() > 0 && now-budget.RetriedAt() < busyTime && budget.RefusedShare() >= overloadShare
	return overloaded && now-req.CallerStart() >= req.Route().Objective()/returnDivisor
}

// pickTarget picks the service of a request by the targets' weights.
func pickTarget(l *loop.Loop, r *lagoon.Route) string {
	targets := r.Targets()
	if len(targets) == 0 {
		return ""
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight()
	}
	stats := l.RouteStats().Ensure(r.Name())
	_, point := math.Modf(stats.SplitPoint() + goldenStep)
	stats.SetSplitPoint(point)
	remaining := point * total
	for _, t := range targets {
		if remaining -= t.Weight(); remaining < 0 {
			return t.Service()
		}
	}
	return targets[len(targets)-1].Service()
}

// refillBudget adds tokens to a service's retry budget: a share of its requests
// and an amount that grows with time. Each node uses its part of the bound that
// holds for all nodes together in any window.
func refillBudget(l *loop.Loop, service string, now time.Duration) {
	b := l.Budgets().Ensure(service)
	slack := l.ExtraSlack() * budgetShare / max(l.View().ShareDivisor(), 1)
	elapsed := min(now-b.RefilledAt(), l.ExtraWindow())
	if b.RefilledAt() == 0 {
		elapsed = 0
	}
	b.SetRefilledAt(now)
	accrued := 0.0
	if l.ExtraWindow() > 0 {
		accrued = slack * (1 - burstShare) * float64(elapsed) / float64(l.ExtraWindow())
	}
	b.SetBurst(max(1, slack*burstShare))
	added := l.ExtraRatio()*budgetShare + accrued
	b.TokensRef().DepositUpTo(1, 100*added, b.Burst())
	if elapsed > 0 {
		kept := math.Exp(-float64(elapsed) / float64(RefillTime))
		b.SetPerSecond(kept*b.PerSecond() + (1-kept)*added/elapsed.Seconds())
	}
}

// WithdrawBudget takes back what an admitted request added to the retry budgets, as it is
// refused before anything of it is sent.
func WithdrawBudget(l *loop.Loop, req *reqs.Row) {
	for _, id := range req.Shards() {
		if shard, ok := l.Shards().Resolve(id); ok {
			b := l.Budgets().Ensure(shard.Service())
			b.TokensRef().DepositUpTo(-1, 100*l.ExtraRatio()*budgetShare, b.Burst())
		}
	}
}

func refuse(l *loop.Loop, id lagoon.RowID, req *reqs.Row, retryAfter time.Duration, reason string) {
	var r lagoon.Response
	r.SetOutcome(lagoon.RequestRefused)
	r.SetRetryAfter(retryAfter)
	r.SetReason(reason)
	setResponse(l, id, req, r)
}

func finish(l *loop.Loop, id lagoon.RowID, req *reqs.Row, outcome lagoon.RequestOutcome, reason string) {
	var r lagoon.Response
	r.SetOutcome(outcome)
	r.SetReason(reason)
	setResponse(l, id, req, r)
}

func setResponse(l *loop.Loop, id lagoon.RowID, req *reqs.Row, r lagoon.Response) {
	req.SetResponse(r)
	req.SetDecided(true)
	l.MarkDecided(id)
}
