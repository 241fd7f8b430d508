// Package stats holds the latency statistics of one route's attempts.
//
// # Usage
//
//	row := table.Ensure("look-browse")
//	row.LatenciesRef().Record(elapsed, now)
package stats

import (
	"time"

	"github.com/lagoontrail/lagoon/pkg/window"
)

//go:generate go run ../../accgen -dir . -rows

// Row is the statistics of one route.
type Row struct {
	meanLatency    time.Duration // the moving average of the attempts' latency
	maxTimeout     time.Duration // the longest caller timeout in the current window
	prevMaxTimeout time.Duration // the longest caller timeout in the previous window
	windowStart    time.Duration // the start of the current window
	splitPoint     float64       // the last point, 0 to 1, of the sequence that splits requests among the targets
	probedAt       time.Duration // when an attempt was last sent although it was expected to end too late

	latencies window.Window
}

// LatenciesRef returns the recent latencies, to be modified in place.
func (r *Row) LatenciesRef() *window.Window { return &r.latencies }

// timeoutWindow is the time after which a timeout that callers no longer use may be
// forgotten. Each caller sends a few requests in it.
const timeoutWindow = 10 * time.Second

// CallerElapsed records the remaining timeout that a caller sent and returns
// the estimated time that the caller has waited already. All callers of a route
// are assumed to start with the same timeout and to send what is left of it. One that
// exceeds longest, the timeout of the route, says nothing about the others; 0 is no limit.
func (r *Row) CallerElapsed(remaining, longest, now time.Duration) time.Duration {
	if now-r.windowStart >= timeoutWindow {
		r.prevMaxTimeout, r.maxTimeout, r.windowStart = r.maxTimeout, 0, now
	}
	counted := remaining
	if longest > 0 {
		counted = min(counted, longest)
	}
	r.maxTimeout = max(r.maxTimeout, counted)
	return max(r.maxTimeout-remaining, r.prevMaxTimeout-remaining, 0)
}
