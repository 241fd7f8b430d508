// Package cancel cancels jobs whose response is no longer needed.
//
// # Usage
//
//	systems = append(systems, cancel.System{})
//
// It writes jobs. A queued job is dropped when it is taken from the queue. A running
// one is cancelled at the server and uses its slot until the request ends.
package cancel

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
)

// System cancels jobs.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "cancel" }

// Run handles the cancellations that arrived in this tick.
func (System) Run(l *lane.Lane, _ time.Duration) {
	for _, m := range l.Cancels() {
		from := l.View().PeerAddr(m.From())
		if m.From() == l.View().Self() {
			from = ""
		}
		for i := range l.Jobs().Len() {
			j := l.Jobs().At(i)
			if j.OriginAddr() == from && matches(j, m) {
				cancel(j)
			}
		}
	}
}

// matches reports whether a cancellation by the origin node of a job names the job. Each
// lane of each run of a node numbers its shard requests from the same start.
func matches(j *jobs.Row, m *lagoon.ShardRequestCancel) bool {
	sameLane := !m.HasLane() || j.OriginLane() == m.Lane()
	return sameLane && j.OriginStartID() == m.StartID() && slices.Contains(m.IDs(), j.ShardRequestID())
}

// cancel marks a job as cancelled and, if its request is idempotent, cancels the
// request. A running request that is not idempotent continues, because cancelling
// it could leave its effect incomplete.
func cancel(j *jobs.Row) {
	j.SetCanceled(true)
	if j.Cancel() != nil && j.Idempotent() {
		j.Cancel()()
	}
}
