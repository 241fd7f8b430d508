// Package recall withdraws jobs whose answer is no longer needed.
//
// # Usage
//
//	systems = append(systems, recall.System{})
//
// It writes jobs. A queued job is dropped when its turn comes; a running one is
// cancelled at the server, and its slot stays taken until the request ended.
package recall

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
)

// System withdraws jobs.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "recall" }

// Run withdraws the jobs that were named in this tick.
func (System) Run(l *lane.Lane, _ time.Duration) {
	for _, m := range l.Cancels() {
		from := l.View().AddrOf(m.From())
		if m.From() == l.View().Self() {
			from = ""
		}
		for i := range l.Jobs().Len() {
			j := l.Jobs().At(i)
			if j.From() == from && j.FromStart() == m.Start() && slices.Contains(m.IDs(), j.Leg()) {
				withdraw(j)
			}
		}
	}
}

// withdraw marks a job. A request that may not run twice is never cancelled
// while it runs, as its effect may be half done.
func withdraw(j *jobs.Row) {
	j.SetWithdrawn(true)
	if j.Stop() != nil && j.Idempotent() {
		j.Stop()()
	}
}
