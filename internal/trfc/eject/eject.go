// Package eject provides outlier ejection: a server that keeps failing gets no
// requests for a while.
//
// # Usage
//
//	eject.RecordEnd(l, server, gate, status, interrupted, now)   // after each request
//	systems = append(systems, eject.System{})                    // restores servers
//
// Consecutive failures eject a server once; failures of requests that were already
// running count towards the same ejection. A server is restored after its cooldown
// and, unless the ejection setting says otherwise, only while it responds to probes;
// a restarted server is restored immediately. The cooldown doubles with each ejection
// since the last recovery, except while no other server responds either: a general
// outage is not the fault of one server.
package eject

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/timers"
)

const (
	ejectAfterFailures  = 3 // consecutive failures that eject a server
	ejectAfterOverdue   = 4 // consecutive overdue requests that eject a server
	baseCooldown        = 500 * time.Millisecond
	maxCooldown         = 10 * time.Second
	otherResponseMaxAge = 2 * time.Second // without a more recent response of another server, a general outage is assumed
	checkInterval       = 100 * time.Millisecond
)

// The values of the ejection setting: when an ejected server is restored.
const (
	ByProbe      = "probe"      // after an increasing cooldown and a successful probe
	ByTimer      = "timer"      // after a constant cooldown
	ByEscalation = "escalating" // after an increasing cooldown
)

// System restores ejected servers.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "eject" }

// Run restores the servers whose ejection may end.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.DueRows(timers.Recheck) {
		g, ok := l.Gates().Resolve(id)
		if !ok || g.EjectedUntil() == 0 {
			continue
		}
		if !s.mayRestore(l, l.Gates().KeyOf(id), g, now) {
			l.WakeAt(now+checkInterval, timers.Recheck, id)
			continue
		}
		s.restore(l, l.Gates().KeyOf(id), g)
	}
}

// mayRestore reports whether an ejected server may be restored.
func (System) mayRestore(l *lane.Lane, name string, g *gates.Row, now time.Duration) bool {
	server, ok := l.View().Server(name)
	if ok && server.StartID() != 0 && g.StartID() != 0 && server.StartID() != g.StartID() {
		return true // the server has restarted since it was ejected
	}
	if now < g.EjectedUntil() {
		return false
	}
	if l.RestoreCondition() == ByTimer || l.RestoreCondition() == ByEscalation {
		return true
	}
	return ok && server.Up()
}

func (System) restore(l *lane.Lane, name string, g *gates.Row) {
	g.SetEjectedUntil(0)
	g.SetConsecutiveFailures(0)
	g.SetReported(false)
	if server, ok := l.View().Server(name); ok {
		g.SetRamp(l.RampPolicy().Start(server.Slots()))
	}
	l.ScheduleReport()
	l.Record("server_restored", name, "", "its cooldown has ended or it has restarted; its concurrency limit starts at 1")
}

// RecordEnd records the status of a request and ejects the server after too many
// consecutive failures, which are StatusUnknown and StatusNotSent. A request that this
// node interrupted is not a failure.
func RecordEnd(l *lane.Lane, name string, g *gates.Row, status lagoon.Status, interrupted bool, now time.Duration) {
	switch {
	case interrupted || l.Unlimited():
		return
	case status == lagoon.StatusOK:
		g.SetConsecutiveFailures(0)
		g.SetLastResponseAt(now)
		// A single response does not prove a recovery; a raised limit does.
		if g.EjectedUntil() == 0 && g.Ramp().Limit() > 1 {
			g.SetEjections(0)
		}
		return
	case status != lagoon.StatusUnknown && status != lagoon.StatusNotSent:
		return
	case g.EjectedUntil() > 0:
		return
	}
	g.SetConsecutiveFailures(g.ConsecutiveFailures() + 1)
	if g.ConsecutiveFailures() >= ejectAfterFailures {
		eject(l, name, g, now, fmt.Sprintf("%d consecutive requests failed", ejectAfterFailures))
	}
}

// RecordOverdue records a request that took far longer than expected, whether it
// completed or was cancelled because another replica responded first. After too many
// consecutive ones the server is ejected, provided that another replica can replace it.
func RecordOverdue(l *lane.Lane, name string, g *gates.Row, now time.Duration) {
	g.SetConsecutiveOverdue(g.ConsecutiveOverdue() + 1)
	if g.ConsecutiveOverdue() < ejectAfterOverdue || g.EjectedUntil() > 0 || l.Unlimited() || !replaceable(l, name) {
		return
	}
	eject(l, name, g, now, fmt.Sprintf("%d consecutive requests took far longer than expected", ejectAfterOverdue))
}

// replaceable reports whether another replica of a server is usable.
func replaceable(l *lane.Lane, name string) bool {
	_, ok := LowestReplicaLatency(l, name)
	return ok
}

// LowestReplicaLatency returns the lowest mean latency of the other usable servers
// of a server's group, or false if there is none.
func LowestReplicaLatency(l *lane.Lane, name string) (time.Duration, bool) {
	server, ok := l.View().Server(name)
	if !ok {
		return 0, false
	}
	var shortest time.Duration
	found := false
	servers := l.View().Servers()
	for _, pos := range server.Replicas() {
		other := &servers[pos]
		if other.Name() == name || !other.Usable() {
			continue
		}
		if !found || other.MeanLatency() < shortest {
			shortest = other.MeanLatency()
		}
		found = true
	}
	return shortest, found
}

func eject(l *lane.Lane, name string, g *gates.Row, now time.Duration, reason string) {
	if otherServersRespond(l, name, now) && l.RestoreCondition() != ByTimer {
		g.SetEjections(g.Ejections() + 1)
	}
	cooldown := min(maxCooldown, baseCooldown<<min(max(g.Ejections()-1, 0), 8))
	g.SetEjectedUntil(now + cooldown)
	g.SetConsecutiveFailures(0)
	g.SetConsecutiveOverdue(0)
	g.SetReported(false)
	l.ScheduleReport()
	if id, ok := l.Gates().IDOf(name); ok {
		l.WakeAt(now+checkInterval, timers.Recheck, id)
	}
	l.Record("server_ejected", name, "", fmt.Sprintf("%s; ejected with a cooldown of %s", reason, cooldown))
}

// otherServersRespond reports whether another server of this lane responded
// recently.
func otherServersRespond(l *lane.Lane, name string, now time.Duration) bool {
	for i := range l.Gates().Len() {
		g := l.Gates().At(i)
		if l.Gates().Key(i) != name && g.LastResponseAt() > 0 && now-g.LastResponseAt() < otherResponseMaxAge {
			return true
		}
	}
	return false
}
