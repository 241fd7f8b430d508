// Package pump sends queued jobs to servers that have a free slot.
//
// # Usage
//
//	systems = append(systems, pump.System{})
//
// It writes gates and jobs. Right before each send it reads the clock again and
// compares it with the lease, since the process may have been paused. A
// request never outlives the lease under which it was sent.
package pump

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/due"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/srvvw"
	"github.com/lagoontrail/lagoon/internal/trfc/offer"
)

// System sends jobs.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "pump" }

// Run sends from the gates that were touched in this tick.
func (s System) Run(l *lane.Lane, _ time.Duration) {
	for _, id := range l.DueRows(due.Slot) {
		if g, ok := l.Gates().Resolve(id); ok {
			g.SetInflight(g.Inflight() - 1)
			l.Touch(id)
		}
	}
	for _, id := range l.DueRows(due.Gate) {
		l.Touch(id)
	}
	for _, id := range l.Touched() {
		if g, ok := l.Gates().Resolve(id); ok {
			s.pump(l, g)
		}
	}
}

func (s System) pump(l *lane.Lane, g *gates.Row) {
	for len(g.Queue()) > 0 && (g.Inflight() < g.Ramp().Limit() || l.FanOut()) {
		jobID, j := s.next(l, g)
		if j == nil {
			return
		}
		s.send(l, jobID, j, g)
	}
}

// next removes the job of the highest weight from the queue, the oldest among
// equals.
func (System) next(l *lane.Lane, g *gates.Row) (lagoon.RowID, *jobs.Row) {
	best := -1
	var job *jobs.Row
	for i, id := range g.Queue() {
		j, ok := l.Jobs().Resolve(id)
		if ok && (job == nil || j.Weight() > job.Weight()) {
			best, job = i, j
		}
	}
	if job == nil {
		g.SetQueue(nil)
		return 0, nil
	}
	id := g.Queue()[best]
	g.SetQueue(append(g.Queue()[:best], g.Queue()[best+1:]...))
	return id, job
}

func (s System) send(l *lane.Lane, id lagoon.RowID, j *jobs.Row, g *gates.Row) {
	now := l.Clock().Now()
	if status, detail := s.blocked(l, j, now); detail != "" {
		offer.Return(l, j, g, status, detail, 0)
		l.Jobs().Remove(id)
		return
	}
	end := j.Deadline()
	if !l.FanOut() {
		end = min(end, l.View().LeaseUntil())
	}
	g.SetInflight(g.Inflight() + 1)
	j.SetStarted(now)
	j.SetFull(g.Inflight() >= g.Ramp().Limit())
	l.Launch(id, j, end-now-gates.CancelGrace)
}

// blocked returns why a job is not sent now, or an empty detail.
func (System) blocked(l *lane.Lane, j *jobs.Row, now time.Duration) (lagoon.Status, string) {
	switch {
	case j.Withdrawn():
		return lagoon.StatusExpired, "withdrawn"
	case j.Deadline()-now <= gates.CancelGrace:
		return lagoon.StatusExpired, "the deadline came while the request was queued"
	case l.FanOut():
		return lagoon.StatusOK, ""
	case l.View().LeaseUntil()-now <= gates.CancelGrace:
		return lagoon.StatusNotSent, "this node's lease has ended"
	}
	return allowed(l, j)
}

// allowed checks the view once more, as it may have changed while the job was
// queued.
func allowed(l *lane.Lane, j *jobs.Row) (lagoon.Status, string) {
	s, ok := serverOf(l, j)
	switch {
	case !ok:
		return lagoon.StatusNotSent, "the server is not declared any more"
	case !s.Mine() || !s.Acting():
		return lagoon.StatusNotSent, "this node does not own the server any more"
	case s.Out() || s.Draining():
		return lagoon.StatusNotSent, "the server is not used now: " + s.Blocked()
	}
	return lagoon.StatusOK, ""
}

func serverOf(l *lane.Lane, j *jobs.Row) (*srvvw.Row, bool) {
	return l.View().Server(l.Gates().KeyOf(j.Gate()))
}
