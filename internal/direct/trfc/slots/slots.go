// Package slots decides which attempts may take a slot of a server whose speed and cost are
// known.
//
// # Usage
//
//	if slots.Reserved(l, shard, req, replica, h, &estimate, now) { ... } // it waits, or uses another server
//	if slots.TooLate(l, req, &estimate, wait, now) { ... }               // it is not sent
//
// It addresses two loads: bursts of costly requests that take all slots of a service, so that
// cheap and more urgent ones wait for them, and servers so slow that the caller has gone before
// they respond.
package slots

import (
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/health"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/costs"
)

const (
	// reservedSlots is the number of slots of each server that costly requests leave free.
	reservedSlots = 1
	// rounding is added to it, as the number of free slots is an estimate. With 1, the mean of
	// costly requests rose by a fifteenth under ordinary load.
	rounding = 0.5
	// costlyFactor is how much more work a costly request is than the cheaper ones. While a
	// server ends one that is less, the cheaper ones wait for little more than their own time.
	costlyFactor = 4
	// maxHold is how long an attempt waits for another slot, relative to its own time on the
	// server. With 0.1, urgent requests gained less under bursts of costly ones.
	maxHold = 0.25
	// fastDeviations is how many standard deviations below the mean of the logarithm the least
	// work is that is taken as possible; one attempt in 44 is less.
	fastDeviations = 2
	// probeInterval is the time between two attempts of a route that are sent although they are
	// expected to end too late. They show when servers or requests have become faster.
	probeInterval = time.Second
)

// Reserved reports whether an attempt would take the last free slot of a server that is kept for
// cheaper and more urgent requests. It waits no longer than maxHold, and only while it can meet
// its objective, so that no rank starves.
func Reserved(l *loop.Loop, shard *shards.Row, req *reqs.Row, r *lagoon.Replica, h *health.Row, e *costs.Estimate, now time.Duration) bool {
	c := e.Cost()
	work := time.Duration(float64(c.Mean()) * e.Slowdown())
	if e.Slowdown() == 0 || r.Slots() <= reservedSlots || float64(now-shard.QueuedAt()) >= maxHold*float64(work) {
		return false
	}
	if now+e.Expected(0) >= req.CallerStart()+req.Route().Objective() {
		return false
	}
	free := float64(r.Slots()-h.Inflight()) - e.Others()
	return free < reservedSlots+rounding && l.Flows().Ensure(shard.Service()).MoreUrgent(req.Rank(), c.Mean()/costlyFactor, now)
}

// TooLate reports whether an attempt cannot end before the deadline of its request, even if it is
// little work. One in each probeInterval is let through.
func TooLate(l *loop.Loop, req *reqs.Row, e *costs.Estimate, wait, now time.Duration) bool {
	c := e.Cost()
	if e.Slowdown() == 0 {
		return false
	}
	least := float64(c.Mean()) * math.Exp(-c.Spread()*c.Spread()/2-fastDeviations*c.Spread()) * e.Slowdown()
	if now+wait+time.Duration(least)+e.RoundTrip() <= req.Deadline() {
		return false
	}
	stats := l.RouteStats().Ensure(req.Route().Name())
	if now-stats.ProbedAt() >= probeInterval {
		stats.SetProbedAt(now)
		return false
	}
	return true
}
