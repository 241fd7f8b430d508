// Package eject holds back servers that keep failing, and lets them return.
//
// # Usage
//
//	eject.Judge(l, server, gate, status, interrupted, now)   // after each request
//	systems = append(systems, eject.System{})                // lets servers return
//
// A run of failures ejects a server once; failures of requests that were
// already under way belong to the same incident. The server returns when its
// cooldown has passed and, unless the setting says otherwise, a probe has
// succeeded since. The cooldown doubles with each ejection after the last
// recovery, but not while no server at all answers, as an outage of everything
// is no fault of one server.
package eject

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/due"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/lane"
)

// Bounds of ejection.
const (
	failuresInRow  = 3
	overdueInRow   = 4
	baseCooldown   = 500 * time.Millisecond
	maxCooldown    = 10 * time.Second
	othersAnswered = 2 * time.Second // how recent an answer of another server must be
	checkInterval  = 100 * time.Millisecond
)

// The ways in which an ejected server returns.
const (
	ByProbe      = "probe"
	ByTimer      = "timer"
	ByEscalation = "escalating"
)

// System lets ejected servers return.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "eject" }

// Run looks at the gates whose cooldown may have passed.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, id := range l.DueRows(due.Gate) {
		g, ok := l.Gates().Resolve(id)
		if !ok || g.Ejected() == 0 {
			continue
		}
		if !s.mayReturn(l, l.Gates().KeyOf(id), g, now) {
			l.WakeAt(now+checkInterval, due.Gate, id)
			continue
		}
		s.restore(l, l.Gates().KeyOf(id), g)
	}
}

// mayReturn reports whether a server's cooldown has passed and, where that is
// asked for, its owner's latest probe succeeded.
func (System) mayReturn(l *lane.Lane, name string, g *gates.Row, now time.Duration) bool {
	server, ok := l.View().Server(name)
	if ok && server.Start() != 0 && g.Start() != 0 && server.Start() != g.Start() {
		return true // what was held back has ended; a new run is not to blame
	}
	if now < g.Ejected() {
		return false
	}
	if l.Ejection() == ByTimer || l.Ejection() == ByEscalation {
		return true
	}
	return ok && server.Up()
}

func (System) restore(l *lane.Lane, name string, g *gates.Row) {
	g.SetEjected(0)
	g.SetStrikes(0)
	g.SetTold(false)
	if server, ok := l.View().Server(name); ok {
		g.SetRamp(l.Ramper().Start(server.Slots()))
	}
	l.ReportSoon()
	l.Note("server_restored", name, "", "its cooldown has passed and it may be tried again, one request at once at first")
}

// Judge counts the end of a request and ejects the server if too many failed.
// interrupted says that this node cancelled the request, which is no failure.
func Judge(l *lane.Lane, name string, g *gates.Row, status lagoon.Status, interrupted bool, now time.Duration) {
	switch {
	case interrupted || l.FanOut():
		return
	case status == lagoon.StatusOK:
		g.SetStrikes(0)
		g.SetLastOK(now)
		// One answer does not show that a server has recovered; a climb does.
		if g.Ejected() == 0 && g.Ramp().Limit() > 1 {
			g.SetEjects(0)
		}
		return
	case status != lagoon.StatusUnknown && status != lagoon.StatusNotSent:
		return
	case g.Ejected() > 0:
		return
	}
	g.SetStrikes(g.Strikes() + 1)
	if g.Strikes() >= failuresInRow {
		hold(l, name, g, now, fmt.Sprintf("%d requests in a row failed", failuresInRow))
	}
}

// Overdue counts a request that took far longer than the server's requests do
// while it is well, whether it was answered in the end or cancelled because
// another replica answered first. A server that answers nothing in time is held
// back as well, as long as another one can answer in its place.
func Overdue(l *lane.Lane, name string, g *gates.Row, now time.Duration) {
	g.SetOverdue(g.Overdue() + 1)
	if g.Overdue() < overdueInRow || g.Ejected() > 0 || l.FanOut() || !replaceable(l, name) {
		return
	}
	hold(l, name, g, now, fmt.Sprintf("%d requests in a row took far longer than usual", overdueInRow))
}

// replaceable reports whether another server of the same group is usable.
func replaceable(l *lane.Lane, name string) bool {
	_, ok := Others(l, name)
	return ok
}

// Others returns the shortest mean time among the other usable servers of a
// server's group, or false when there is none.
func Others(l *lane.Lane, name string) (time.Duration, bool) {
	server, ok := l.View().Server(name)
	if !ok {
		return 0, false
	}
	var shortest time.Duration
	found := false
	servers := l.View().Servers()
	for _, pos := range server.Group() {
		other := &servers[pos]
		if other.Name() == name || !other.Usable() {
			continue
		}
		if !found || other.Latency() < shortest {
			shortest = other.Latency()
		}
		found = true
	}
	return shortest, found
}

func hold(l *lane.Lane, name string, g *gates.Row, now time.Duration, why string) {
	if othersAnswer(l, name, now) && l.Ejection() != ByTimer {
		g.SetEjects(g.Ejects() + 1)
	}
	cooldown := min(maxCooldown, baseCooldown<<min(max(g.Ejects()-1, 0), 8))
	g.SetEjected(now + cooldown)
	g.SetStrikes(0)
	g.SetOverdue(0)
	g.SetTold(false)
	l.ReportSoon()
	if id, ok := l.Gates().IDOf(name); ok {
		l.WakeAt(now+checkInterval, due.Gate, id)
	}
	l.Note("server_ejected", name, "", fmt.Sprintf("%s; held back for %s and until a probe succeeds", why, cooldown))
}

// othersAnswer reports whether another server of this lane answered lately.
func othersAnswer(l *lane.Lane, name string, now time.Duration) bool {
	for i := range l.Gates().Len() {
		g := l.Gates().At(i)
		if l.Gates().Key(i) != name && g.LastOK() > 0 && now-g.LastOK() < othersAnswered {
			return true
		}
	}
	return false
}
