// Package flight lists the attempts in flight at one server with their expected costs.
//
// # Usage
//
//	list.Add(id, cost, startsAt)
//	left, likelihood := list.Left(silentSince, slowdown, now)
//	list.Remove(id)
package flight

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/cost"
)

// List is the attempts in flight at one server. The zero value is empty.
type List struct {
	entries []entry
}

type entry struct {
	attempt  lagoon.RowID
	cost     lagoon.Cost
	startsAt time.Duration // when the server is expected to begin the work
}

// Add adds an attempt.
func (l *List) Add(attempt lagoon.RowID, c lagoon.Cost, startsAt time.Duration) {
	l.entries = append(l.entries, entry{attempt, c, startsAt})
}

// Remove removes an attempt.
func (l *List) Remove(attempt lagoon.RowID) {
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool { return e.attempt == attempt })
}

// Left returns the work that is expected to be left of all attempts, and the likelihood that
// none of them has ended in the time since the server last responded if it does not pause.
func (l *List) Left(silentSince time.Duration, slowdown float64, now time.Duration) (left time.Duration, likelihood float64) {
	likelihood = 1
	for _, e := range l.entries {
		age := time.Duration(float64(now-e.startsAt) / slowdown)
		left += cost.Remaining(e.cost, age)
		if silent := time.Duration(float64(now-max(e.startsAt, silentSince)) / slowdown); silent > 0 {
			likelihood *= cost.Survival(e.cost, silent)
		}
	}
	return left, likelihood
}
