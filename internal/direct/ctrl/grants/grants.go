// Package grants puts reports and grants on open roll-outs into heartbeats and takes them out.
//
// # Usage
//
//	heartbeat.SetRolloutReports(grants.Reports(s, now))
//	heartbeat.SetRolloutGrants(grants.For(s, peer, now))
//	grants.Receive(s, heartbeat, now)
//
// Nodes report to all hubs, and the decider answers each report with a grant. Package rollo
// decides what is granted.
package grants

import (
	"fmt"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/orders"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// Times of leases. They count from the send time of the report that a grant answers.
const (
	leasePart      = 0.6              // of the time for a roll-back; the rest is for a report, the decision and the next heartbeat
	defaultLease   = 3 * time.Second  // with the usual roll-back time of 5 s
	OldLease       = 10 * time.Second // for the old versions; a longer outage of all hubs stops a service in a roll-out
	committedTime  = 5 * time.Second  // for which a node that reported that it does not use the old versions keeps to it; covers the writes that rely on the report
	commitMargin   = time.Second      // of the target lease that is left when a node commits; control that stands still for longer stops all sends
	FreshReport    = time.Second      // the age up to which a report is answered
	maxSentReports = 8                // that a grant may still answer; they cover more than the target lease
)

// Reports returns what this node reports on the open roll-outs, and remembers that it did.
// hubHeard says whether it hears a hub.
func Reports(s *state.State, hubHeard bool, now time.Duration) []lagoon.RolloutReport {
	var out []lagoon.RolloutReport
	for i := range s.Orders().Len() {
		row := s.Orders().At(i)
		if !row.Open() || s.Tally() == nil {
			continue
		}
		if !row.Granted() && (row.OldUntil() == 0 || (hubHeard && s.RegistryReachable())) {
			// Hubs of an earlier release grant nothing. The registry tells what became of the order.
			row.SetOldUntil(now + OldLease)
			s.SetViewStale(true)
		}
		out = append(out, report(s, row, now))
	}
	return out
}

func report(s *state.State, row *orders.Row, now time.Duration) lagoon.RolloutReport {
	order := row.Order()
	counts := s.Tally().Read(order.Service(), row.OpenedRevision())
	row.SetSent(append(row.Sent(), orders.NewSent(now, counts.TargetBad())))
	if n := len(row.Sent()); n > maxSentReports {
		row.SetSent(slices.Clone(row.Sent()[n-maxSentReports:]))
	}
	var r lagoon.RolloutReport
	r.SetService(order.Service())
	r.SetTargetVersion(order.TargetVersion())
	r.SetRevision(order.Revision())
	r.SetAge(now - row.LearnedAt())
	r.SetCounts(counts.Routes())
	r.SetRejected(row.Rejected())
	if row.Shift() && !row.Rejected() && now+commitMargin < row.TargetUntil() && counts.Switched() {
		r.SetSwitched(true)
		row.SetOldFrom(now + committedTime)
		row.SetCommitted(true)
		s.SetViewStale(true)
	}
	return r
}

// For returns what this node, as the decider, grants another one.
func For(s *state.State, node string, now time.Duration) []lagoon.RolloutGrant {
	var out []lagoon.RolloutGrant
	for i := range s.Orders().Len() {
		row := s.Orders().At(i)
		if report, ok := row.Reports()[node]; ok && row.Open() && row.Deciding() && now-report.At() < FreshReport {
			out = append(out, grant(s, row, report.SentAt()))
		}
	}
	return out
}

func grant(s *state.State, row *orders.Row, echo time.Duration) lagoon.RolloutGrant {
	order := row.Order()
	var g lagoon.RolloutGrant
	g.SetService(order.Service())
	g.SetTargetVersion(order.TargetVersion())
	g.SetRevision(order.Revision())
	g.SetEcho(echo)
	g.SetOldFor(OldLease)
	if row.Rejected() {
		g.SetRejected(true)
		return g
	}
	g.SetShare(row.NextShare())
	g.SetShift(row.NextShift())
	if row.NextShare() > 0 {
		g.SetTargetFor(targetLease(s))
	}
	if !row.NextShift() {
		g.SetBadLimit(badLimit(len(row.Reports())))
	}
	return g
}

// unreportedBad is the number of bad responses that all nodes together may have beyond those
// that the decider knows of, if there are no more nodes than that.
const unreportedBad = 15

func badLimit(nodes int) uint64 { return uint64(max(1, unreportedBad/max(nodes, 1))) }

func targetLease(s *state.State) time.Duration {
	if s.RollbackTime() == 0 {
		return defaultLease
	}
	return time.Duration(leasePart * float64(s.RollbackTime()))
}

// Receive takes in the reports and grants of another node.
func Receive(s *state.State, m *lagoon.Heartbeat, now time.Duration) {
	from := m.From()
	for _, report := range m.RolloutReports() {
		row, ok := s.Orders().Find(report.Service())
		if !ok || !row.Open() || row.Order().TargetVersion() != report.TargetVersion() || report.Revision() < row.OpenedRevision() {
			continue
		}
		row.Receive(from.Name(), report, m.Sent(), now)
	}
	for _, g := range m.RolloutGrants() {
		Apply(s, from.Name(), g, now)
	}
}

// GrantSelf reports to this node itself and applies what it grants as the decider.
func GrantSelf(s *state.State, row *orders.Row, now time.Duration) {
	row.Receive(s.Self().Name(), report(s, row, now), now, now)
	if row.Deciding() {
		Apply(s, s.Self().Name(), grant(s, row, now), now)
	}
}

// Apply applies a grant of a decider. One that answers no recent report, or an older one than
// the last grant did, has no effect, except that a rejection holds for good.
func Apply(s *state.State, from string, g lagoon.RolloutGrant, now time.Duration) {
	row, ok := s.Orders().Find(g.Service())
	if !ok || !row.Open() || row.Order().TargetVersion() != g.TargetVersion() || g.Revision() < row.OpenedRevision() {
		return
	}
	i := slices.IndexFunc(row.Sent(), func(sent orders.Sent) bool { return sent.At() == g.Echo() })
	if i < 0 || (g.Echo() < row.GrantEcho() && !g.Rejected()) {
		return
	}
	s.SetViewStale(true)
	if changed := g.Rejected() != row.Rejected() || g.Share() != row.Share() || g.Shift() != row.Shift(); changed && !row.Rejected() {
		s.Record("rollout_lease", g.Service(), fmt.Sprintf("target %s: share %.3f, shift %t, rejected %t, as granted by %s in answer to the report of %s ago; before: share %.3f, shift %t", g.TargetVersion(), g.Share(), g.Shift(), g.Rejected(), from, now-g.Echo(), row.Share(), row.Shift()))
	}
	row.SetGranted(true)
	row.SetGrantEcho(g.Echo())
	row.SetOldUntil(max(row.OldUntil(), g.Echo()+g.OldFor()))
	if g.Rejected() || !g.Shift() {
		row.SetCommitted(false)
	}
	if g.Rejected() || row.Rejected() {
		row.SetRejected(true)
		row.SetShare(0)
		row.SetTargetUntil(0)
		return
	}
	row.SetShare(g.Share())
	row.SetShift(g.Shift())
	row.SetTargetUntil(g.Echo() + g.TargetFor())
	row.SetBadLimit(0)
	if g.BadLimit() > 0 {
		row.SetBadLimit(row.Sent()[i].Bad() + g.BadLimit())
	}
}
