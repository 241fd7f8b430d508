// Package warn tells nodes of requests under which servers ended.
//
// # Usage
//
//	systems = append(systems, warn.System{})
//	changed, all := warn.Collect(s, now)
//	heartbeat.SetCases(warn.For(peer, changed, all, now))
//
// A node tells the hubs what its own attempts showed, and the hubs tell all nodes, in heartbeats
// that are sent at once: callers come back within a tenth of a second, at any node. A message that
// is lost is made up for by the next heartbeats, and by each node's own attempts. The state is in
// memory, and a node that has just started is told all of it.
package warn

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/cases"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

const (
	// tellTime is how long after news heartbeats carry it. It spans three of them, of which two
	// may be lost.
	tellTime = 1500 * time.Millisecond
	// startTime is how long after a node became known hubs tell it all cases.
	startTime = 3 * time.Second
	// maxTold is the number of cases that a heartbeat carries at most, so that its size is bounded.
	maxTold = 16
	// earlyInterval is the time between two heartbeats that are sent early. A large hub takes a
	// part of it to send one to every node.
	earlyInterval = 100 * time.Millisecond
)

// System merges what traffic and other nodes report.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "warn" }

// Run merges the reports of this tick, passes on to traffic what other nodes reported, and has
// heartbeats sent early if others are to be told.
func (System) Run(s *state.State, now time.Duration) {
	for _, report := range s.CaseReports() {
		for _, c := range report.Cases() {
			if cases.Merge(s.Cases(), c, now) {
				s.SetWarningDue(true)
			}
		}
	}
	news := &lagoon.CaseReport{}
	for _, m := range s.Heartbeats() {
		for _, c := range m.Cases() {
			if cases.Merge(s.Cases(), c, now) {
				news.SetCases(append(news.Cases(), c))
			}
		}
	}
	if len(news.Cases()) > 0 {
		if s.Hub() {
			s.SetWarningDue(true)
		}
		if s.DeliverCases() != nil {
			s.DeliverCases()(news) // the next heartbeats do not repeat it; traffic learns it from its own attempts if its mailbox is full
		}
	}
	if s.WarningDue() && now-s.WarnedAt() >= earlyInterval {
		s.SetWarningDue(false)
		s.SetWarnedAt(now)
		s.SetHeartbeatsDue(true)
	}
	if s.Cases().Len() > 0 {
		cases.Sweep(s.Cases(), now)
	}
}

// Collect returns what the heartbeats that are sent now may carry: the cases with news, and from a
// hub all of them. It goes over the cases once, however many nodes are told.
func Collect(s *state.State, now time.Duration) (changed, all []lagoon.RequestCase) {
	for i := range s.Cases().Len() {
		row := s.Cases().At(i)
		isNew := now-row.ChangedAt() < tellTime
		if !isNew && !s.Hub() {
			continue
		}
		c := cases.CaseOf(s.Cases().Key(i), row, now)
		if isNew && len(changed) < maxTold {
			changed = append(changed, c)
		}
		if len(all) < maxTold {
			all = append(all, c)
		}
	}
	return changed, all
}

// For returns the cases that the heartbeat to another node carries: all of them if it became known
// lately.
func For(row *peers.Row, changed, all []lagoon.RequestCase, now time.Duration) []lagoon.RequestCase {
	if now-row.KnownAt() < startTime {
		return all
	}
	return changed
}
