// Package finish decides when a request is answered and how: with all shards,
// with some of them, or with a failure.
//
// # Usage
//
//	systems = append(systems, finish.System{})
package finish

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/calls"
	"github.com/lagoontrail/lagoon/internal/direct/flow"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/due"
)

// retryAfterRefusal is the base of Retry-After when every server is busy or in
// backoff: the initial backoff of a server and the time of a few requests.
const retryAfterRefusal = 300 * time.Millisecond

// System decides on responses.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "finish" }

// Run decides on the requests whose shards changed or whose timers have expired.
func (System) Run(l *flow.Flow, now time.Duration) {
	for _, id := range l.DueRows(due.Query) {
		decide(l, id, now)
	}
	for _, id := range l.Changed() {
		decide(l, id, now)
	}
}

func decide(l *flow.Flow, id lagoon.RowID, now time.Duration) {
	c, ok := l.Requests().Resolve(id)
	if !ok || c.Decided() || c.Route() == nil {
		return
	}
	var r lagoon.Ruling
	done := false
	if len(c.Route().Shards()) > 0 {
		r, done = decideGathered(l, id, c, now)
	} else {
		r, done = decideSingle(l, c)
	}
	if !done && now >= c.Deadline() {
		r, done = expiredResponse(c), true
	}
	if done {
		c.SetResponse(r)
		c.SetDecided(true)
		l.MarkDecided(id)
	}
}

// decideGathered decides on a request to many shards.
func decideGathered(l *flow.Flow, id lagoon.RowID, c *calls.Row, now time.Duration) (lagoon.Ruling, bool) {
	reachable := Sufficient(c, c.Covered()+c.Pending())
	switch {
	case !reachable:
		return failureResponse(l, c), true
	case c.Pending() == 0:
		return gatheredResponse(l, c), true
	case !Sufficient(c, c.Covered()):
		return lagoon.Ruling{}, false
	}
	answer, wait := l.Partial().Answer(PartialView(c, now))
	if answer || now >= c.Deadline() {
		return gatheredResponse(l, c), true
	}
	if wait > 0 {
		l.WakeAt(now+wait, due.Query, id)
	}
	return lagoon.Ruling{}, false
}

// PartialView returns the input of the partial-answer policy for a request.
func PartialView(c *calls.Row, now time.Duration) lagoon.PartialView {
	var v lagoon.PartialView
	v.SetElapsed(now - c.CallerStart())
	v.SetObjective(c.Route().Objective())
	v.SetLeft(c.Deadline() - now)
	v.SetCovered(c.Covered())
	v.SetTotal(len(c.Shards()))
	v.SetMinCoverage(c.Route().MinCoverage())
	return v
}

// Sufficient reports whether a number of covered shards is enough for a response.
func Sufficient(c *calls.Row, covered int) bool {
	return covered > 0 && float64(covered) >= c.Route().MinCoverage()*float64(len(c.Shards()))
}

func gatheredResponse(l *flow.Flow, c *calls.Row) lagoon.Ruling {
	var r lagoon.Ruling
	var replies []any
	for _, id := range c.Shards() {
		if sh, ok := l.Shards().Resolve(id); ok && sh.State() == shards.Covered {
			replies = append(replies, sh.Reply())
		}
	}
	r.SetEnd(lagoon.EndGathered)
	r.SetParts(replies)
	r.SetMissing(len(c.Shards()) - len(replies))
	r.SetRecords(c.Route().Records())
	r.SetReason(fmt.Sprintf("%d of %d shards", len(replies), len(c.Shards())))
	return r
}

// decideSingle decides on a request to one service.
func decideSingle(l *flow.Flow, c *calls.Row) (lagoon.Ruling, bool) {
	sh, ok := l.Shards().Resolve(c.Shards()[0])
	if !ok {
		return failureResponse(l, c), true
	}
	switch sh.State() {
	case shards.Covered:
		var r lagoon.Ruling
		r.SetEnd(lagoon.EndServed)
		r.SetReply(sh.Reply())
		return r, true
	case shards.Missing:
		if sh.Reply() == nil {
			return failureResponse(l, c), true
		}
		var r lagoon.Ruling
		r.SetEnd(lagoon.EndFailed)
		r.SetReply(sh.Reply())
		r.SetReason(sh.Detail())
		return r, true
	}
	return lagoon.Ruling{}, false
}

// failureResponse returns the response to a request that no server will answer.
// It says that the request did not run only if no attempt may have run it or may
// still run it.
func failureResponse(l *flow.Flow, c *calls.Row) lagoon.Ruling {
	var r lagoon.Ruling
	running := 0
	for _, id := range c.Shards() {
		if sh, ok := l.Shards().Resolve(id); ok {
			running += sh.Running()
			if sh.State() == shards.Missing && r.Reason() == "" {
				r.SetReason(sh.Service() + ": " + sh.Detail())
			}
		}
	}
	if c.MayHaveRun() || running > 0 {
		r.SetEnd(lagoon.EndLost)
		return r
	}
	r.SetEnd(lagoon.EndRefused)
	r.SetRetryAfter(retryAfterRefusal + time.Duration(l.RandomFloat()*float64(retryAfterRefusal)))
	return r
}

func expiredResponse(c *calls.Row) lagoon.Ruling {
	var r lagoon.Ruling
	r.SetEnd(lagoon.EndExpired)
	r.SetReason(fmt.Sprintf("%d of %d shards answered before the deadline", c.Covered(), len(c.Shards())))
	return r
}
