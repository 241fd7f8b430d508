package shed

import (
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/demand"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
)

// maxReportAge is the age up to which a report or refusal of a server counts.
const maxReportAge = 150 * time.Millisecond

// confirmTime is the time for which a service must have been late without a break. It is longer
// than a pause of a server together with the age of its reports.
const confirmTime = 400 * time.Millisecond

// A route is late sooner, after widespreadTime, if the share widespread of its services is: no
// fault of single servers does that.
const (
	widespread     = 0.5
	widespreadTime = 150 * time.Millisecond
)

// lateShare is the part of the objective above which an expected response time is late.
const lateShare = 1.0

// waitShare is the part of the objective that requests may wait at the servers on the average.
const waitShare = 0.1

// assess decides whether too many services of a route have been late for confirmTime, and when enough servers are
// expected to have responded.
func assess(l *loop.Loop, row *demand.Row, now time.Duration) {
	r := row.Route()
	services := len(r.Shards())
	spare := services - int(math.Ceil(r.MinCoverage()*float64(services))) // the services that a response may lack
	times := make([]time.Duration, 0, max(services, len(r.Targets())))
	late, soon, wait := 0, 0, time.Duration(0)
	if n := max(services, len(r.Targets())); len(row.LateSince()) != n {
		row.SetLateSince(make([]time.Duration, n))
	}
	add := func(service string) {
		expected, isLate := expectedOf(l, service, row, now)
		since := &row.LateSince()[len(times)]
		times = append(times, expected)
		wait += max(expected-row.Work(), 0)
		switch {
		case !isLate:
			*since = 0
		case *since == 0:
			*since = now
		case now-*since >= confirmTime:
			late++
			soon++
		case now-*since >= widespreadTime:
			soon++
		}
	}
	for _, service := range r.Shards() {
		add(service)
	}
	for _, target := range r.Targets() {
		add(target.Service())
	}
	row.SetPressure(float64(wait) / float64(max(len(times), 1)) / max(waitShare*float64(r.Objective()), 1))
	if services == 0 {
		row.SetLate(len(times) > 0 && 2*late > len(times)) // most of the services that it balances requests over
		row.SetExpectedTime(0)
		if len(times) == 1 {
			row.SetExpectedTime(times[0])
		}
		return
	}
	row.SetLate(late > spare || (soon > spare && float64(soon) >= widespread*float64(services)))
	slices.Sort(times)
	row.SetExpectedTime(times[len(times)-1-min(spare, len(times)-1)])
}

// expectedOf returns when the best server of a service is expected to respond to an attempt,
// and whether all its servers are late: they refused an attempt because they were full, or are
// not expected to respond within a part of the objective. A server without a current report
// counts as one that responds in time.
func expectedOf(l *loop.Loop, service string, row *demand.Row, now time.Duration) (time.Duration, bool) {
	best, late, known := time.Duration(math.MaxInt64), true, false
	servers := l.View().ServersOf(service)
	for i := range servers {
		expected, isLate, ok := expectedAt(l, &servers[i], row, now)
		if !ok {
			continue
		}
		known = true
		best, late = min(best, expected), late && isLate
	}
	if !known {
		return 0, false
	}
	return best, late
}

// expectedAt returns the same for one server. ok is false for one that gets no requests.
func expectedAt(l *loop.Loop, r *lagoon.Replica, row *demand.Row, now time.Duration) (expected time.Duration, late, ok bool) {
	if h, found := l.Health().Find(r.ID()); r.Draining() || (found && h.BackoffUntil() > now) {
		return 0, false, false
	}
	load, found := l.Loads().Find(r.ID())
	if !found || now-load.ReportedAt() > maxReportAge {
		return 0, false, true
	}
	speed := max(load.Slowdown(), 1)
	expected = time.Duration(speed * (load.Queue()*float64(load.Work()) + float64(row.Work())))
	refused := load.RefusedAt() > 0 && now-load.RefusedAt() < maxReportAge
	return expected, refused || float64(expected) > lateShare*float64(row.Route().Objective()), true
}
