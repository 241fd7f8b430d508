// Package finish decides when to respond to a request and how: with all shards,
// with some of them, or with a failure.
//
// # Usage
//
//	systems = append(systems, finish.System{})
package finish

import (
	"fmt"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// retryAfterRefusal is the base of Retry-After when every server is busy or in
// backoff: the initial backoff of a server and the time of a few requests.
const retryAfterRefusal = 300 * time.Millisecond

// System decides on responses.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "finish" }

// Run decides on the requests whose shards changed or whose timers have expired.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, id := range l.DueRows(timers.Deadline) {
		decide(l, id, now)
	}
	for _, id := range l.Changed() {
		decide(l, id, now)
	}
}

func decide(l *loop.Loop, id lagoon.RowID, now time.Duration) {
	req, ok := l.Requests().Resolve(id)
	if !ok || req.Decided() || req.Route() == nil {
		return
	}
	var r lagoon.Response
	done := false
	if len(req.Route().Shards()) > 0 {
		r, done = decideGathered(l, id, req, now)
	} else {
		r, done = decideSingle(l, req, now)
	}
	if !done && now >= req.Deadline() {
		r, done = expiredResponse(l, req), true
	}
	if done {
		req.SetResponse(r)
		req.SetDecided(true)
		l.MarkDecided(id)
	}
}

// decideGathered decides on a request to many shards.
func decideGathered(l *loop.Loop, id lagoon.RowID, req *reqs.Row, now time.Duration) (lagoon.Response, bool) {
	reachable := Sufficient(req, req.CoveredShards()+req.PendingShards())
	switch {
	case !reachable:
		return failureResponse(l, req, now), true
	case req.PendingShards() == 0:
		return gatheredResponse(l, req), true
	case !Sufficient(req, req.CoveredShards()):
		return lagoon.Response{}, false
	}
	respond, wait := l.PartialPolicy().Respond(PartialView(req, now))
	if respond || now >= req.Deadline() {
		return gatheredResponse(l, req), true
	}
	if wait > 0 {
		l.WakeAt(now+wait, timers.Deadline, id)
	}
	return lagoon.Response{}, false
}

// PartialView returns the input of the partial-response policy for a request.
func PartialView(req *reqs.Row, now time.Duration) lagoon.PartialView {
	var v lagoon.PartialView
	v.SetElapsed(now - req.CallerStart())
	v.SetObjective(req.Route().Objective())
	v.SetRemaining(req.Deadline() - now)
	v.SetCovered(req.CoveredShards())
	v.SetTotal(len(req.Shards()))
	v.SetMinCoverage(req.Route().MinCoverage())
	return v
}

// Sufficient reports whether a number of covered shards is enough for a response.
func Sufficient(req *reqs.Row, covered int) bool {
	return covered > 0 && float64(covered) >= req.Route().MinCoverage()*float64(len(req.Shards()))
}

func gatheredResponse(l *loop.Loop, req *reqs.Row) lagoon.Response {
	var r lagoon.Response
	var replies []any
	for _, id := range req.Shards() {
		if shard, ok := l.Shards().Resolve(id); ok && shard.State() == shards.Covered {
			replies = append(replies, shard.Reply())
		}
	}
	r.SetOutcome(lagoon.RequestGathered)
	r.SetParts(replies)
	r.SetMissingShards(len(req.Shards()) - len(replies))
	r.SetMaxRecords(req.Route().MaxRecords())
	r.SetReason(fmt.Sprintf("%d of %d shards", len(replies), len(req.Shards())))
	return r
}

// decideSingle decides on a request to one service.
func decideSingle(l *loop.Loop, req *reqs.Row, now time.Duration) (lagoon.Response, bool) {
	shard, ok := l.Shards().Resolve(req.Shards()[0])
	if !ok {
		return failureResponse(l, req, now), true
	}
	switch shard.State() {
	case shards.Covered:
		var r lagoon.Response
		r.SetOutcome(lagoon.RequestServed)
		r.SetReply(shard.Reply())
		return r, true
	case shards.Missing:
		if shard.Reply() == nil {
			return failureResponse(l, req, now), true
		}
		var r lagoon.Response
		r.SetOutcome(lagoon.RequestFailed)
		r.SetReply(shard.Reply())
		r.SetReason(shard.Detail())
		return r, true
	}
	return lagoon.Response{}, false
}

// failureResponse returns the response to a request to which no server will respond.
// RequestRefused guarantees that the request did not run, so it is used only if no
// attempt may have run it or may still run it.
func failureResponse(l *loop.Loop, req *reqs.Row, now time.Duration) lagoon.Response {
	var r lagoon.Response
	for _, id := range req.Shards() {
		if shard, ok := l.Shards().Resolve(id); ok && shard.State() == shards.Missing {
			r.SetReason(shard.Service() + ": " + shard.Detail())
			break
		}
	}
	if MayRun(l, req) {
		r.SetOutcome(lagoon.RequestLost)
		return r
	}
	r.SetOutcome(lagoon.RequestRefused)
	r.SetRetryAfter(retryAfter(l, req, now))
	return r
}

// retryAfter returns the time after which the caller of a refused request may send it again,
// at random within retryAfterRefusal so that callers do not return together. A shard whose
// servers pause may have one again when the first pause ends.
func retryAfter(l *loop.Loop, req *reqs.Row, now time.Duration) time.Duration {
	wait := time.Duration(0)
	for _, id := range req.Shards() {
		shard, ok := l.Shards().Resolve(id)
		switch {
		case !ok || shard.State() != shards.Missing:
		case shard.ReturnsAt() > now:
			wait = max(wait, shard.ReturnsAt()-now)
		default:
			wait = max(wait, retryAfterRefusal)
		}
	}
	return wait + time.Duration(l.RandomFloat()*float64(retryAfterRefusal))
}

// MayRun reports whether a server may have run a request or may still run it. If none may,
// its caller can send it again at once.
func MayRun(l *loop.Loop, req *reqs.Row) bool {
	if req.MayHaveRun() {
		return true
	}
	return slices.ContainsFunc(req.Shards(), func(id lagoon.RowID) bool {
		shard, ok := l.Shards().Resolve(id)
		return ok && shard.Inflight() > 0
	})
}

// expiredResponse returns the response to a request whose deadline has passed. One that
// did not run is refused, so that the caller may send it again.
func expiredResponse(l *loop.Loop, req *reqs.Row) lagoon.Response {
	var r lagoon.Response
	r.SetOutcome(lagoon.RequestExpired)
	if !MayRun(l, req) {
		r.SetOutcome(lagoon.RequestRefused)
	}
	r.SetReason(fmt.Sprintf("%d of %d shards answered before the deadline", req.CoveredShards(), len(req.Shards())))
	return r
}
