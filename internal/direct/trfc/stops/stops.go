// Package stops ends the requests of a node that is stopping before its process ends.
//
// # Usage
//
//	systems = append(systems, stops.System{})
//
// From the beginning of a planned stop, the deadline of a request is at most the end of
// the stop, so that it gets a response on its connection. A request that arrives in the last
// part of the stop, in which idle connections are closed, or too late to be served by then,
// is refused before anything is sent. So is one that servers refused and that waits for the
// retry budget: at another node it needs no token.
package stops

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/finish"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// The time that must be left until the end of the stop when a request arrives, in
// latency objectives of its route. A caller cannot repeat a request that is not idempotent
// if it is cut off, so that one needs more.
const (
	idempotentObjectives    = 1
	nonIdempotentObjectives = 3
)

// System ends requests. The zero value is ready to use.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "stops" }

// Run limits the deadlines of all requests, and refuses those that are not to be served
// by this node any more.
func (System) Run(l *loop.Loop, now time.Duration) {
	end := l.View().StopAt()
	if end == 0 {
		return
	}
	for _, id := range l.Arrived() {
		if req, ok := l.Requests().Resolve(id); ok && inProgress(req) && (now >= l.View().RefuseAt() || end-now < minTimeLeft(req.Route())) {
			refuse(l, id, req, "the node is stopping")
		}
	}
	for i := range l.Requests().Len() {
		req := l.Requests().At(i)
		if !inProgress(req) {
			continue
		}
		id := l.Requests().ID(i)
		if req.Deadline() > end {
			req.SetDeadline(end)
			l.WakeAt(end, timers.Deadline, id)
		}
		if waitsForBudget(l, req) {
			refuse(l, id, req, "the node is stopping, and the retry budget is used up")
		}
	}
}

// inProgress reports whether a request has been admitted and has no response yet.
func inProgress(req *reqs.Row) bool { return req.Route() != nil && !req.Decided() }

// minTimeLeft returns the time that must be left when a request of a route arrives.
func minTimeLeft(r *lagoon.Route) time.Duration {
	if r.Idempotent() {
		return idempotentObjectives * r.Objective()
	}
	return nonIdempotentObjectives * r.Objective()
}

// waitsForBudget reports whether no server has a request or may have run it, and one of its
// attempts needs a token of a retry budget that has none.
func waitsForBudget(l *loop.Loop, req *reqs.Row) bool {
	return !finish.MayRun(l, req) && slices.ContainsFunc(req.Shards(), func(id lagoon.RowID) bool {
		shard, ok := l.Shards().Resolve(id)
		return ok && shard.AttemptPending() && shard.NeedsToken() && l.Budgets().Ensure(shard.Service()).TokensRef().Available() < 1
	})
}

// refuse refuses a request that did not run. Retry-After is left out, as the caller may
// use another node at once.
func refuse(l *loop.Loop, id lagoon.RowID, req *reqs.Row, reason string) {
	var r lagoon.Response
	r.SetOutcome(lagoon.RequestRefused)
	r.SetReason(reason)
	req.SetResponse(r)
	req.SetDecided(true)
	l.MarkDecided(id)
}
