// Package result handles the results of requests to servers.
//
// # Usage
//
//	systems = append(systems, result.System{})
//
// It writes gates and jobs: it releases the slot, updates the ramp-up and the outlier
// detection of the server, and returns the result.
package result

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/trfc/eject"
	"github.com/lagoontrail/lagoon/internal/trfc/queue"
)

// Parameters for detecting a cold server.
const (
	slowFactor         = 3  // multiple of the expected latency above which a response is slow
	coldHintFactor     = 2  // the same, if the server reports that it is cold
	coldAfterSlow      = 3  // consecutive slow responses that show a cold server
	minWarmResponses   = 16 // responses before the warm latency is used
	warmDriftDivisor   = 50 // slow responses after which the warm latency includes most of a lasting change
	previousMeanWeight = 8  // weight of the previous mean relative to a new sample
)

// Parameters for detecting a hung server.
const (
	hungFactor      = 8 // multiple of the mean latency above which an interrupted request is a failure
	hungMinDuration = 20 * time.Millisecond
)

// System handles the results of jobs.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "result" }

// Run handles the jobs whose requests ended in this tick.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.EndedJobs() {
		j, ok := l.Jobs().Resolve(id)
		if !ok {
			continue
		}
		if g, ok := l.Gates().Resolve(j.Gate()); ok {
			s.handleResult(l, j, g, now)
		}
		l.Jobs().Remove(id)
	}
}

func (s System) handleResult(l *lane.Lane, j *jobs.Row, g *gates.Row, now time.Duration) {
	status := j.Reply().Status()
	interrupted := status == lagoon.StatusUnknown && (j.Canceled() || now+gates.CancelGrace >= j.Deadline())
	if interrupted {
		l.ReleaseSlotAt(now+gates.CancelGrace, j.Gate())
	} else {
		g.SetInflight(g.Inflight() - 1)
		l.ScheduleLaunch(j.Gate())
	}
	s.updateRamp(l, j, g)
	expected := expectedLatency(l, l.Gates().KeyOf(j.Gate()), g)
	switch overdue := expected > 0 && j.Duration() > slowFactor*expected; {
	case overdue && (status == lagoon.StatusOK || j.Canceled()):
		eject.RecordOverdue(l, l.Gates().KeyOf(j.Gate()), g, now)
	case status == lagoon.StatusOK:
		g.SetConsecutiveOverdue(0)
	}
	notFailure := interrupted && !hung(j, g)
	eject.RecordEnd(l, l.Gates().KeyOf(j.Gate()), g, status, notFailure, now)
	g.SetReported(false)
	queue.ReturnResult(l, j, g, status, j.Reply().Detail(), j.Duration())
}

// hung reports whether a request ran so long that it counts as a failure of the
// server even though it was interrupted.
func hung(j *jobs.Row, g *gates.Row) bool {
	return j.Duration() > max(hungMinDuration, hungFactor*g.MeanLatency())
}

// updateRamp updates the ramp-up of the server with the result of a job.
func (s System) updateRamp(l *lane.Lane, j *jobs.Row, g *gates.Row) {
	name := l.Gates().KeyOf(j.Gate())
	server, ok := l.View().Server(name)
	if !ok {
		return
	}
	sample := s.sampleOf(j, g, expectedLatency(l, name, g))
	before := g.Ramp()
	after := l.RampPolicy().Observe(before, sample, server.Slots())
	g.SetRamp(after)
	if start := j.Reply().Report().StartID(); start != 0 {
		g.SetStartID(start)
	}
	if sample == lagoon.SampleRestart {
		g.SetWarmLatency(0)
		g.SetResponses(0)
	}
	if after.Limit() != before.Limit() {
		l.Record("server_limit_changed", name, "", fmt.Sprintf("%s: concurrency limit changed from %d to %d of %d slots", sampleText(sample), before.Limit(), after.Limit(), server.Slots()))
		l.ScheduleReport()
	}
}

func sampleText(s lagoon.Sample) string {
	switch s {
	case lagoon.SampleCold:
		return "it refused a request or answered as slowly as a cold server"
	case lagoon.SampleRestart:
		return "its start id changed"
	}
	return "it answered in the expected time with the whole limit in use"
}

func (s System) sampleOf(j *jobs.Row, g *gates.Row, expected time.Duration) lagoon.Sample {
	reply := j.Reply()
	report := reply.Report()
	if report.StartID() != 0 && g.StartID() != 0 && report.StartID() != g.StartID() {
		return lagoon.SampleRestart
	}
	switch reply.Status() {
	case lagoon.StatusRefused:
		return lagoon.SampleCold
	case lagoon.StatusOK:
		return s.responseSample(j, g, expected, report.Cold())
	}
	return lagoon.SampleOK
}

// expectedLatency returns the warm latency of the server or the mean latency of the
// fastest other replica, whichever is longer, or 0 if the warm latency is not known.
// If all replicas are slow, the requests are slow, and no server is cold or an
// outlier because of that.
func expectedLatency(l *lane.Lane, name string, g *gates.Row) time.Duration {
	if g.WarmLatency() == 0 {
		return 0
	}
	others, _ := eject.LowestReplicaLatency(l, name)
	return max(g.WarmLatency(), others)
}

// responseSample classifies a response by its latency. A slow response shows a cold
// server only after several consecutive ones or if the server reports that it is cold,
// because a single response may be a straggler.
func (System) responseSample(j *jobs.Row, g *gates.Row, expected time.Duration, reportedCold bool) lagoon.Sample {
	duration := j.Duration()
	g.SetResponses(g.Responses() + 1)
	g.SetMeanLatency(movingAverage(g.MeanLatency(), duration))
	warmKnown := g.Responses() > minWarmResponses && expected > 0
	if warmKnown && reportedCold && duration > coldHintFactor*expected {
		return lagoon.SampleCold
	}
	if warmKnown && duration > slowFactor*expected {
		g.SetWarmLatency(g.WarmLatency() + (duration-g.WarmLatency())/warmDriftDivisor)
		g.SetConsecutiveSlow(g.ConsecutiveSlow() + 1)
		if g.ConsecutiveSlow() >= coldAfterSlow {
			g.SetConsecutiveSlow(0)
			return lagoon.SampleCold
		}
		return lagoon.SampleOK
	}
	g.SetConsecutiveSlow(0)
	g.SetWarmLatency(movingAverage(g.WarmLatency(), duration))
	if j.AtLimit() {
		return lagoon.SampleAtLimit
	}
	return lagoon.SampleOK
}

// movingAverage returns the exponentially weighted moving average after one more
// sample.
func movingAverage(previous, sample time.Duration) time.Duration {
	if previous == 0 {
		return sample
	}
	return (previous*previousMeanWeight + sample) / (previousMeanWeight + 1)
}
