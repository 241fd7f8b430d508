// Package timely decides whether a further attempt of a request may still be answered in
// time. One that cannot be is not sent: its server would run it for nobody, and its answer
// would be lost.
//
// # Usage
//
//	if !timely.Enough(l, req, now) { ... }   // no further attempt
//
// First attempts are not limited: they show when servers have become faster.
package timely

import (
	"time"

	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
)

// Enough reports whether at least as much time is left until the deadline of a request as the
// fastest of the recent attempts on its route took.
func Enough(l *loop.Loop, req *reqs.Row, now time.Duration) bool {
	left := req.Deadline() - now
	latencies := l.RouteStats().Ensure(req.Route().Name()).LatenciesRef()
	return left > 0 && (!latencies.Ready() || left >= latencies.Min())
}
