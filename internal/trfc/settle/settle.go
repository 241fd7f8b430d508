// Package settle takes in the ends of requests to servers.
//
// # Usage
//
//	systems = append(systems, settle.System{})
//
// It writes gates and jobs: it frees the slot, tells the ramp what the end
// shows, ejects a server that keeps failing, and returns the outcome.
package settle

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/trfc/eject"
	"github.com/lagoontrail/lagoon/internal/trfc/offer"
)

// Signs of cold.
const (
	coldFactor   = 3  // times the warm latency that one slow answer takes
	hintFactor   = 2  // the same, when the server says that it is cold
	slowInRow    = 3  // slow answers in a row that count as cold
	warmAnswers  = 16 // answers before the warm latency is trusted
	driftShare   = 50 // slow answers until most of a lasting change counts as usual
	latencyShare = 8  // weight of the past in the mean latency, plus one
)

// Signs of a server that hangs.
const (
	hungFactor = 8
	hungLeast  = 20 * time.Millisecond
)

// System takes in ends.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "settle" }

// Run takes in the requests that ended in this tick.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.Ended() {
		j, ok := l.Jobs().Resolve(id)
		if !ok {
			continue
		}
		if g, ok := l.Gates().Resolve(j.Gate()); ok {
			s.settle(l, j, g, now)
		}
		l.Jobs().Remove(id)
	}
}

func (s System) settle(l *lane.Lane, j *jobs.Row, g *gates.Row, now time.Duration) {
	status := j.Reply().Status()
	interrupted := status == lagoon.StatusUnknown && (j.Withdrawn() || now+gates.CancelGrace >= j.Deadline())
	if interrupted {
		l.SlotBack(now+gates.CancelGrace, j.Gate())
	} else {
		g.SetInflight(g.Inflight() - 1)
		l.Touch(j.Gate())
	}
	s.observe(l, j, g)
	usual := usualTime(l, l.Gates().KeyOf(j.Gate()), g)
	switch slow := usual > 0 && j.Took() > coldFactor*usual; {
	case slow && (status == lagoon.StatusOK || j.Withdrawn()):
		eject.Overdue(l, l.Gates().KeyOf(j.Gate()), g, now)
	case status == lagoon.StatusOK:
		g.SetOverdue(0)
	}
	excused := interrupted && !hung(j, g)
	eject.Judge(l, l.Gates().KeyOf(j.Gate()), g, status, excused, now)
	g.SetTold(false)
	offer.Return(l, j, g, status, j.Reply().Detail(), j.Took())
}

// hung reports whether a request ran so long that its interruption still
// counts as a failure of the server.
func hung(j *jobs.Row, g *gates.Row) bool {
	return j.Took() > max(hungLeast, hungFactor*g.Latency())
}

// observe tells the ramp what the end of a request shows.
func (s System) observe(l *lane.Lane, j *jobs.Row, g *gates.Row) {
	name := l.Gates().KeyOf(j.Gate())
	server, ok := l.View().Server(name)
	if !ok {
		return
	}
	sample := s.sampleOf(j, g, usualTime(l, name, g))
	before := g.Ramp()
	after := l.Ramper().Observe(before, sample, server.Slots())
	g.SetRamp(after)
	if start := j.Reply().Report().Start(); start != 0 {
		g.SetStart(start)
	}
	if sample == lagoon.SampleRestart {
		g.SetWarm(0)
		g.SetAnswers(0)
	}
	if after.Limit() != before.Limit() {
		l.Note("server_limit_changed", name, "", fmt.Sprintf("%s: from %d to %d of %d requests at once", sampleText(sample), before.Limit(), after.Limit(), server.Slots()))
		l.ReportSoon()
	}
}

func sampleText(s lagoon.Sample) string {
	switch s {
	case lagoon.SampleCold:
		return "it refused work or answered as slowly as a cold server"
	case lagoon.SampleRestart:
		return "its start id changed"
	}
	return "it answered in the usual time with the whole limit in use"
}

func (s System) sampleOf(j *jobs.Row, g *gates.Row, usual time.Duration) lagoon.Sample {
	reply := j.Reply()
	report := reply.Report()
	if report.Start() != 0 && g.Start() != 0 && report.Start() != g.Start() {
		return lagoon.SampleRestart
	}
	switch reply.Status() {
	case lagoon.StatusRefused:
		return lagoon.SampleCold
	case lagoon.StatusOK:
		return s.answered(j, g, usual, report.Cold())
	}
	return lagoon.SampleOK
}

// usualTime returns the time that an answer of the server should take: its own
// while it is warm, or that of the fastest other server of its group, whichever
// is longer. When all of a group are slow, the requests are, and no server of it
// is cold or an outlier for that.
func usualTime(l *lane.Lane, name string, g *gates.Row) time.Duration {
	if g.Warm() == 0 {
		return 0
	}
	others, _ := eject.Others(l, name)
	return max(g.Warm(), others)
}

// answered judges an answer by its time. A slow one is cold only if several
// come in a row, or if the server says so as well: one straggler is no sign.
func (System) answered(j *jobs.Row, g *gates.Row, usual time.Duration, hint bool) lagoon.Sample {
	took := j.Took()
	g.SetAnswers(g.Answers() + 1)
	g.SetLatency(mean(g.Latency(), took))
	trusted := g.Answers() > warmAnswers && usual > 0
	if trusted && hint && took > hintFactor*usual {
		return lagoon.SampleCold
	}
	if trusted && took > coldFactor*usual {
		g.SetWarm(g.Warm() + (took-g.Warm())/driftShare)
		g.SetSlow(g.Slow() + 1)
		if g.Slow() >= slowInRow {
			g.SetSlow(0)
			return lagoon.SampleCold
		}
		return lagoon.SampleOK
	}
	g.SetSlow(0)
	g.SetWarm(mean(g.Warm(), took))
	if j.Full() {
		return lagoon.SampleFull
	}
	return lagoon.SampleOK
}

func mean(before, took time.Duration) time.Duration {
	if before == 0 {
		return took
	}
	return (before*latencyShare + took) / (latencyShare + 1)
}
