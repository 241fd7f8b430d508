// Package limit keeps this node's share of the limits that servers name for all nodes together.
//
// # Usage
//
//	systems = append(systems, limit.System{})
//	at, held := limit.Until(l, &replica, now)
//	limit.Count(l, &replica, now)           // when an attempt is started
//
// The load pattern: servers in need take a part of their usual requests from all nodes together,
// and each node sees only its own. A node's share is the part that it has of all requests, which
// hubs add up from heartbeats; it falls to one of the nodes that may be running when it is not
// known, and does not rise while the node is cut off. The share is spaced by tokens that expire,
// so that neither a node that stood still nor many idle ones send at once what they saved. Nodes
// tell each other of changes, so that one that has just started knows the limits as well.
package limit

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/limits"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

const (
	// usedShare is the part of a limit that the nodes use. Their shares add up to more than 1 for
	// up to two heartbeats when callers move between nodes.
	usedShare = 0.9
	// tokenTime is how long an unused token is kept. The tokens of all nodes that were idle are
	// this part of what the limit allows in a second.
	tokenTime = 500 * time.Millisecond
	// minPerSecond is the rate at which all nodes together try a server that takes fewer requests,
	// because only its responses tell that the limit has ended.
	minPerSecond = 0.25
	// sendTime is the time within which an attempt must be sent. One that waits for a connection
	// for longer would add to the requests of a later second.
	sendTime = 500 * time.Millisecond
)

// System records the limits.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "limit" }

// Run records what other nodes and the responses of this tick say of limits, and tells control of
// what has changed.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, news := range l.LimitNews() {
		for _, statement := range news.Limits() {
			record(l, statement, now-statement.Age(), now, "another node told so")
		}
	}
	var report *lagoon.LimitReport
	for _, id := range l.Completed() {
		attempt, ok := l.Attempts().Resolve(id)
		if !ok {
			continue
		}
		result := attempt.Result()
		if !result.LimitStated() {
			continue
		}
		statement := statementOf(attempt, &result)
		if !applies(l, attempt, statement) || !record(l, statement, now, now, "it said so in a response") {
			continue
		}
		if report == nil {
			report = &lagoon.LimitReport{}
		}
		report.SetLimits(append(report.Limits(), statement))
	}
	if report != nil && l.TellControl() != nil {
		l.TellControl()(report) // each node learns of a limit from the responses that it gets as well
	}
}

// statementOf returns what the response to an attempt says of the server's limit.
func statementOf(attempt *tries.Row, result *lagoon.AttemptResult) lagoon.ServerLimit {
	var s lagoon.ServerLimit
	s.SetServer(attempt.Server())
	s.SetStartedMilli(attempt.StartedMilli())
	s.SetLimited(result.Limited())
	s.SetPerSecond(result.Limit())
	return s
}

// applies reports whether a statement tells anything new. One without a limit may be older than
// the last one, unless the attempt was sent after that.
func applies(l *loop.Loop, attempt *tries.Row, s lagoon.ServerLimit) bool {
	if s.Limited() {
		return true
	}
	row, known := l.Limits().Find(s.Server())
	return known && attempt.SentAt() >= row.StatedAt()
}

// record applies a statement and reports whether other nodes are to be told of it.
func record(l *loop.Loop, s lagoon.ServerLimit, at, now time.Duration, source string) bool {
	known, ok := l.Limits().Find(s.Server())
	wasLimited := ok && known.Limited() && known.StartedMilli() == s.StartedMilli()
	row, changed := limits.Merge(l.Limits(), s, at, now)
	if !changed {
		return false
	}
	if !row.Limited() {
		l.Record("server_unlimited", s.Server(), "", "it names no limit any more: "+source)
		return true
	}
	if !wasLimited {
		// The nodes learn of a limit at the same time, and begin at different ones.
		row.PacerRef().Start(now + time.Duration(l.RandomFloat()*float64(interval(l, row))))
	}
	l.Record("server_limited", s.Server(), "", fmt.Sprintf("it takes %g requests per second from all nodes together: %s; this node sends one per %s", row.PerSecond(), source, interval(l, row).Round(time.Millisecond)))
	return true
}

// interval returns the time between two requests of this node to a server with a limit.
func interval(l *loop.Loop, row *limits.Row) time.Duration {
	perSecond := usedShare * max(row.PerSecond(), minPerSecond) / max(l.View().ShareDivisor(), 1)
	return max(time.Duration(float64(time.Second)/perSecond), time.Microsecond)
}

// find returns the limit of a server's run, if it has one.
func find(l *loop.Loop, r *lagoon.Replica) (*limits.Row, bool) {
	row, ok := l.Limits().Find(r.ID())
	if !ok || !row.Limited() || r.StartedMilli() > row.StartedMilli() {
		return nil, false
	}
	return row, true
}

// Until returns when the limit of a server lets this node send the next request, and whether that
// is later than now.
func Until(l *loop.Loop, r *lagoon.Replica, now time.Duration) (at time.Duration, held bool) {
	row, ok := find(l, r)
	if !ok {
		return 0, false
	}
	at = row.PacerRef().Next(now, interval(l, row), tokenTime)
	return at, at > now
}

// Interval returns the time between two requests of this node to a server, or 0 if the server has
// no limit.
func Interval(l *loop.Loop, r *lagoon.Replica) time.Duration {
	row, ok := find(l, r)
	if !ok {
		return 0
	}
	return interval(l, row)
}

// Count counts an attempt that is started now against this node's share, and returns the time
// before which it must be sent, or 0 if the server has no limit.
func Count(l *loop.Loop, r *lagoon.Replica, now time.Duration) (sendBefore time.Duration) {
	row, ok := find(l, r)
	if !ok {
		return 0
	}
	row.PacerRef().Take(now, interval(l, row), tokenTime)
	return now + sendTime
}
