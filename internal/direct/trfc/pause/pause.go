// Package pause records the servers that asked this node for a pause with Retry-After, and
// brings them back slowly.
//
// # Usage
//
//	systems = append(systems, pause.System{})
//	until, paused := pause.Until(l, &replica, now)
//	limit := pause.Limit(l, &replica, now)
//
// During a pause the node sends a server nothing. The nodes of a fleet are asked at nearly
// the same time, so that each adds a random time to its pause. After it, the node has one
// attempt in flight at the server, one more after each success, and one more from time to time,
// in case that the server responds to none.
package pause

import (
	"fmt"
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

// maxSpread is the longest random time that is added to a pause. A short pause is at most
// doubled.
const maxSpread = time.Second

// limitInterval is the time after which one more attempt may be in flight without a success.
const limitInterval = 500 * time.Millisecond

// maxRows is the number of pauses above which the one that ended first is forgotten.
const maxRows = 8192

// System records pauses.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "pause" }

// Run records the pauses that the responses of this tick ask for, and the successes of
// servers after a pause.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, id := range l.Completed() {
		attempt, ok := l.Attempts().Resolve(id)
		if !ok {
			continue
		}
		result := attempt.Result()
		switch {
		case result.Pause() > 0:
			record(l, attempt, result.Pause(), now)
		case result.Status() == lagoon.StatusOK:
			raiseLimit(l, attempt, result)
		}
	}
}

// record records a pause. It does not shorten an earlier one of the same run.
func record(l *loop.Loop, attempt *tries.Row, length time.Duration, now time.Duration) {
	row, known := l.Pauses().Find(attempt.Server())
	if known && attempt.StartedMilli() < row.StartedMilli() {
		return // an earlier run
	}
	if !known && l.Pauses().Len() >= maxRows {
		forgetFirst(l)
	}
	row = l.Pauses().Ensure(attempt.Server())
	until := now + length + time.Duration(l.RandomFloat()*float64(min(length, maxSpread)))
	if row.StartedMilli() == attempt.StartedMilli() {
		until = max(until, row.Until())
	}
	row.SetStartedMilli(attempt.StartedMilli())
	row.SetSince(now)
	row.SetUntil(until)
	row.SetAllowance(1)
	l.Record("server_paused", attempt.Server(), l.RequestIDOf(attempt), fmt.Sprintf("it asked for no requests for %s in a response that took %s; it gets none for %s", length, attempt.Elapsed().Round(time.Millisecond), (until-now).Round(time.Millisecond)))
}

// forgetFirst removes the pause that ended first.
func forgetFirst(l *loop.Loop) {
	first, at := "", time.Duration(math.MaxInt64)
	for i := range l.Pauses().Len() {
		if until := l.Pauses().At(i).Until(); until < at {
			first, at = l.Pauses().Key(i), until
		}
	}
	l.Pauses().RemoveKey(first)
}

// raiseLimit allows one more attempt in flight after a success of an attempt that began
// after a pause, and ends the limit once it has reached the server's slots.
func raiseLimit(l *loop.Loop, attempt *tries.Row, result lagoon.AttemptResult) {
	row, ok := l.Pauses().Find(attempt.Server())
	if !ok || attempt.SentAt() < row.Until() {
		return
	}
	row.SetAllowance(row.Allowance() + 1)
	if row.Allowance() > result.Slots() {
		l.Pauses().RemoveKey(attempt.Server())
	}
}

// Until returns when the pause of a server ends, and whether it lasts.
func Until(l *loop.Loop, r *lagoon.Replica, now time.Duration) (time.Duration, bool) {
	row, ok := l.Pauses().Find(r.ID())
	if !ok || r.StartedMilli() > row.StartedMilli() {
		return 0, false
	}
	return row.Until(), now < row.Until()
}

// Limit returns the number of attempts that this node may have in flight at a server
// because of an earlier pause.
func Limit(l *loop.Loop, r *lagoon.Replica, now time.Duration) int {
	row, ok := l.Pauses().Find(r.ID())
	if !ok || r.StartedMilli() > row.StartedMilli() {
		return math.MaxInt
	}
	return row.Allowance() + int(max(now-row.Until(), 0)/limitInterval)
}
