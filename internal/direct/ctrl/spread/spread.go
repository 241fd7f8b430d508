// Package spread tells nodes of the limits that servers named for all nodes together.
//
// # Usage
//
//	systems = append(systems, spread.System{})
//	changed, all := spread.Collect(s, now)
//	heartbeat.SetLimits(spread.For(peer, changed, all, now))
//
// A node tells the hubs of the changes that its own responses showed, and the hubs tell all nodes,
// in the heartbeats that they send anyway. A message that is lost does no harm, because each node
// learns of a limit from its own responses as well. The state is in memory, and a hub that has
// just started learns it anew.
package spread

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/limits"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

const (
	// tellTime is how long after a change heartbeats carry it. It spans three of them, of which
	// two may be lost.
	tellTime = 1500 * time.Millisecond
	// startTime is how long after a node became known hubs tell it all limits.
	startTime = 3 * time.Second
	// maxTold is the number of limits that a heartbeat carries at most, so that its size is bounded.
	maxTold = 256
)

// System merges what traffic and other nodes report.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "spread" }

// Run merges the reports of this tick, and passes on to traffic what other nodes reported.
func (System) Run(s *state.State, now time.Duration) {
	for _, report := range s.LimitReports() {
		for _, statement := range report.Limits() {
			limits.Merge(s.Limits(), statement, now-statement.Age(), now)
		}
	}
	news := &lagoon.LimitReport{}
	for _, m := range s.Heartbeats() {
		for _, statement := range m.Limits() {
			if _, changed := limits.Merge(s.Limits(), statement, now-statement.Age(), now); changed {
				news.SetLimits(append(news.Limits(), statement))
			}
		}
	}
	if len(news.Limits()) > 0 && s.DeliverLimits() != nil {
		s.DeliverLimits()(news) // traffic learns of them from its own responses if its mailbox is full
	}
}

// Collect returns what the heartbeats that are sent now may carry: the limits that changed lately, and
// all these with the others of announced servers that a hub knows to be in force. It goes over the limits once, however many
// nodes are told.
func Collect(s *state.State, now time.Duration) (changed, all []lagoon.ServerLimit) {
	for i := range s.Limits().Len() {
		l := s.Limits().At(i)
		_, announced := s.Servers().Find(s.Limits().Key(i))
		isNew := now-l.ChangedAt() < tellTime
		if !isNew && !(s.Hub() && l.Limited() && announced) {
			continue
		}
		var statement lagoon.ServerLimit
		statement.SetServer(s.Limits().Key(i))
		statement.SetStartedMilli(l.StartedMilli())
		statement.SetLimited(l.Limited())
		statement.SetPerSecond(l.PerSecond())
		statement.SetAge(now - l.StatedAt())
		if isNew && len(changed) < maxTold {
			changed = append(changed, statement)
		}
		if len(all) < maxTold {
			all = append(all, statement)
		}
	}
	return changed, all
}

// For returns the limits that the heartbeat to another node carries: all of them if it became known
// lately.
func For(row *peers.Row, changed, all []lagoon.ServerLimit, now time.Duration) []lagoon.ServerLimit {
	if now-row.KnownAt() < startTime {
		return all
	}
	return changed
}
