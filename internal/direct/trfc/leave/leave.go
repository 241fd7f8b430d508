// Package leave records the servers that said in a response that they are leaving.
//
// # Usage
//
//	systems = append(systems, leave.System{})
//	leaving, usable := leave.State(l, &replica, now)
//
// The server's word applies to one run of it and is never taken back: the announcements in
// the registry may be older, and a server that is leaving may pass a health check. For a
// part of its drain time the run may still get requests that no other server can take; then
// it gets nothing more from this node.
package leave

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

const (
	// defaultDrainTime is the drain time if the settings do not declare it.
	defaultDrainTime = 3 * time.Second
	// drainMargin is the part of the drain time that is kept for requests on their way.
	drainMargin = 500 * time.Millisecond
)

// maxRows is the number of departures above which the oldest of servers that are not
// announced any more is forgotten.
const maxRows = 8192

// System records departures.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "leave" }

// Run records the departures that the responses of this tick announce.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, id := range l.Completed() {
		attempt, ok := l.Attempts().Resolve(id)
		if !ok {
			continue
		}
		result := attempt.Result()
		if result.IgnoredHint() != "" {
			l.Record("server_hint_ignored", attempt.Server(), l.RequestIDOf(attempt), result.IgnoredHint())
		}
		if result.Leaving() {
			record(l, attempt, result.LeavingServer(), now)
		}
	}
}

// record records that a server is leaving: the one of an attempt, or the one that responded
// in its place.
func record(l *loop.Loop, attempt *tries.Row, other string, now time.Duration) {
	server := cmp.Or(other, attempt.Server())
	anyRun := server != attempt.Server()
	row, known := l.Leaves().Find(server)
	if known && (row.AnyRun() || anyRun || attempt.StartedMilli() <= row.StartedMilli()) {
		return
	}
	if !known && l.Leaves().Len() >= maxRows {
		forgetOldest(l)
	}
	row = l.Leaves().Ensure(server)
	row.SetAnyRun(anyRun)
	row.SetStartedMilli(attempt.StartedMilli())
	row.SetSince(now)
	row.SetLastUse(now + max(cmp.Or(l.DrainTime(), defaultDrainTime)-drainMargin, 0))
	l.Record("server_leaving", server, l.RequestIDOf(attempt), fmt.Sprintf("it said so in a response that took %s; it is used as a last resort for %s, and then not before it has started again", attempt.Elapsed().Round(time.Millisecond), row.LastUse()-now))
}

// forgetOldest removes the oldest departure of a server that is not announced.
func forgetOldest(l *loop.Loop) {
	announced := l.View().ServerIDs()
	oldest, at := "", time.Duration(math.MaxInt64)
	for i := range l.Leaves().Len() {
		if id, since := l.Leaves().Key(i), l.Leaves().At(i).Since(); !announced[id] && since < at {
			oldest, at = id, since
		}
	}
	l.Leaves().RemoveKey(oldest)
}

// LastUse returns the time from which a server that said that it is leaving gets no more
// requests, or 0 for any other server.
func LastUse(l *loop.Loop, r *lagoon.Replica, now time.Duration) time.Duration {
	if leaving, _ := State(l, r, now); !leaving {
		return 0
	}
	row, _ := l.Leaves().Find(r.ID())
	return row.LastUse()
}

// State reports whether a server said that it is leaving, and whether it may still get
// requests as a last resort.
func State(l *loop.Loop, r *lagoon.Replica, now time.Duration) (leaving, usable bool) {
	row, ok := l.Leaves().Find(r.ID())
	if !ok {
		return false, true
	}
	if row.AnyRun() {
		row.SetAnyRun(false)
		row.SetStartedMilli(r.StartedMilli())
	}
	if r.StartedMilli() > row.StartedMilli() {
		return false, true // a later run
	}
	return true, now < row.LastUse()
}
