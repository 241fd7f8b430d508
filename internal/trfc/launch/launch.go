// Package launch sends queued jobs to servers that have a free slot.
//
// # Usage
//
//	systems = append(systems, launch.System{})
//
// It writes gates and jobs. It reads the clock and checks the lease immediately
// before each send, because the process may have been paused. The timeout of a
// request ends before the lease under which it is sent.
package launch

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/srvvw"
	"github.com/lagoontrail/lagoon/internal/timers"
	"github.com/lagoontrail/lagoon/internal/trfc/queue"
)

// System launches queued jobs.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "launch" }

// Run releases the slots whose timers have expired and launches jobs of the gates
// scheduled in this tick.
func (s System) Run(l *lane.Lane, _ time.Duration) {
	for _, id := range l.DueRows(timers.Grace) {
		if g, ok := l.Gates().Resolve(id); ok {
			g.SetInflight(g.Inflight() - 1)
			l.ScheduleLaunch(id)
		}
	}
	for _, id := range l.DueRows(timers.Recheck) {
		l.ScheduleLaunch(id)
	}
	for _, id := range l.ToLaunch() {
		if g, ok := l.Gates().Resolve(id); ok {
			s.launchQueued(l, g)
		}
	}
}

func (s System) launchQueued(l *lane.Lane, g *gates.Row) {
	for len(g.Queue()) > 0 && (g.Inflight() < g.Ramp().Limit() || l.Unlimited()) {
		jobID, j := s.next(l, g)
		if j == nil {
			return
		}
		s.send(l, jobID, j, g)
	}
}

// next removes the oldest job of the highest weight from the queue.
func (System) next(l *lane.Lane, g *gates.Row) (lagoon.RowID, *jobs.Row) {
	index := -1
	var job *jobs.Row
	for i, id := range g.Queue() {
		j, ok := l.Jobs().Resolve(id)
		if ok && (job == nil || j.Weight() > job.Weight()) {
			index, job = i, j
		}
	}
	if job == nil {
		g.SetQueue(nil)
		return 0, nil
	}
	id := g.Queue()[index]
	g.SetQueue(append(g.Queue()[:index], g.Queue()[index+1:]...))
	return id, job
}

func (s System) send(l *lane.Lane, id lagoon.RowID, j *jobs.Row, g *gates.Row) {
	now := l.Clock().Now()
	if status, detail := s.refusalReason(l, j, now); detail != "" {
		queue.ReturnResult(l, j, g, status, detail, 0)
		l.Jobs().Remove(id)
		return
	}
	expiry := j.Deadline()
	if !l.Unlimited() {
		expiry = min(expiry, l.View().LeaseUntil())
	}
	g.SetInflight(g.Inflight() + 1)
	j.SetSentAt(now)
	j.SetAtLimit(g.Inflight() >= g.Ramp().Limit())
	l.Launch(id, j, expiry-now-gates.CancelGrace)
}

// refusalReason returns why a job must not be sent, or an empty detail if it may.
func (System) refusalReason(l *lane.Lane, j *jobs.Row, now time.Duration) (lagoon.Status, string) {
	switch {
	case j.Canceled():
		return lagoon.StatusExpired, "withdrawn"
	case j.Deadline()-now <= gates.CancelGrace:
		return lagoon.StatusExpired, "the deadline passed while the request was queued"
	case l.Unlimited():
		return lagoon.StatusOK, ""
	case l.View().LeaseUntil()-now <= gates.CancelGrace:
		return lagoon.StatusNotSent, "this node's lease has expired"
	}
	return checkServer(l, j)
}

// checkServer checks the server again, because the view may have changed while the
// job was queued.
func checkServer(l *lane.Lane, j *jobs.Row) (lagoon.Status, string) {
	s, ok := serverOf(l, j)
	switch {
	case !ok:
		return lagoon.StatusNotSent, "the server is no longer declared"
	case !s.Owned() || !s.SendAllowed():
		return lagoon.StatusNotSent, "this node no longer owns the server"
	case s.ZoneOut() || s.Draining():
		return lagoon.StatusNotSent, "the server is not usable: " + s.UnusableReason()
	}
	return lagoon.StatusOK, ""
}

func serverOf(l *lane.Lane, j *jobs.Row) (*srvvw.Row, bool) {
	return l.View().Server(l.Gates().KeyOf(j.Gate()))
}
