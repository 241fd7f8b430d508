// Package report records the load that servers report in their responses, and the time that
// the attempts of each route take in a slot.
//
// # Usage
//
//	systems = append(systems, report.System{})
//
// It runs before the attempts are removed, and only if there is an admission policy.
package report

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/levels"
	"github.com/lagoontrail/lagoon/internal/direct/loads"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

// workWeight is the weight of a new sample of the work, which covers the last 50 attempts.
const workWeight = 0.02

// The work is sampled at servers with fewer than maxQueue waiting requests per slot before and
// after an attempt, and at any server until there are firstSamples.
const (
	maxQueue     = 1.0
	firstSamples = 20
)

// maxRows is the number of servers above which those without a recent report are removed, and
// maxAge the age of a recent one.
const (
	maxRows = 4096
	maxAge  = time.Second
)

// System records reports.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "report" }

// Run records the reports of the attempts that ended in this tick.
func (System) Run(l *loop.Loop, now time.Duration) {
	if l.AdmissionPolicy() == nil {
		return
	}
	for _, id := range l.Completed() {
		if attempt, ok := l.Attempts().Resolve(id); ok {
			record(l, attempt, now)
		}
	}
}

func record(l *loop.Loop, attempt *tries.Row, now time.Duration) {
	result := attempt.Result()
	if result.Slots() <= 0 || result.AddressReused() {
		return
	}
	if l.Loads().Len() >= maxRows {
		removeOld(l, now)
	}
	row := l.Loads().Ensure(attempt.Server())
	row.SetReportedAt(now)
	row.SetSlowdown(result.Slowdown())
	queueBefore := row.Queue()
	row.SetQueue(float64(max(result.Queued(), 0)) / float64(result.Slots()))
	route := l.Demand().Ensure(attempt.Route())
	if result.Slowdown() > 0 {
		route.SetSpeedAt(now)
	}
	switch {
	case result.Status() == lagoon.StatusRefused && result.Running() >= result.Slots() && result.Queued() > 0:
		row.SetRefusedAt(now)
	case result.Status() == lagoon.StatusOK:
		if level, ok := l.Levels().Find(route.Pool()); ok {
			level.SetServed(level.Served() + float64(route.Work())/float64(levels.AveragingTime))
		}
		if max(queueBefore, row.Queue()) >= maxQueue && route.Samples() >= firstSamples {
			return // the latency is mostly the wait for other requests
		}
		work := workOf(attempt, row, max(result.Slowdown(), 1))
		row.SetSamples(row.Samples() + 1)
		row.SetWork(average(row.Work(), work, row.Samples()))
		route.SetSamples(route.Samples() + 1)
		route.SetWork(average(route.Work(), work, route.Samples()))
	}
}

// workOf returns the time that an attempt took in a slot, at the usual speed: its latency less
// the wait for the requests before it, of which the queue that it left behind is an estimate. It
// is at least its part of the latency if all of them take equally long.
func workOf(attempt *tries.Row, row *loads.Row, slowdown float64) float64 {
	elapsed := float64(attempt.Elapsed()) / slowdown
	return max(elapsed-row.Queue()*float64(row.Work()), elapsed/(1+row.Queue()))
}

// average returns the moving average with a further sample; the first samples count alike.
func average(old time.Duration, sample float64, samples int) time.Duration {
	return old + time.Duration(max(workWeight, 1/float64(samples))*(sample-float64(old)))
}

// removeOld removes the servers without a recent report.
func removeOld(l *loop.Loop, now time.Duration) {
	for i := l.Loads().Len() - 1; i >= 0; i-- {
		if now-l.Loads().At(i).ReportedAt() > maxAge {
			l.Loads().RemoveKey(l.Loads().Key(i))
		}
	}
}
