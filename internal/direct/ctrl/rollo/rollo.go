// Package rollo decides on the roll-outs of new versions: which share of the attempts the target
// version gets, whether it is bad, and when the old versions are not in use any more.
//
// # Usage
//
//	systems = append(systems, rollo.System{})
//
// All hubs test the target version on the same reports. The first hub, the decider, grants
// shares and writes the states of the orders to the registry. docs/design/rollouts.md describes
// what happens when a part fails.
package rollo

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/grants"
	"github.com/lagoontrail/lagoon/internal/direct/orders"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/canary"
)

// decideInterval is the time between two looks at an order: a heartbeat interval, in which each
// node reports once.
const decideInterval = beats.HeartbeatInterval

// The course of an order, in parts of its duration.
const (
	stepPart  = 0.1  // for which each share is granted
	shiftPart = 0.6  // after which all attempts go to a version that nothing speaks against
	latePart  = 0.75 // after which they do so although there are doubts; leaves the time for the leases of silent nodes to expire
)

// The shares, in parts of the share that an unproven version may get. The rest is for the time
// of the shift, in which all attempts go to the target before the order is completed.
var shareSteps = [...]float64{0.2, 0.4, 0.6}

// defaultExposureShare applies if the settings do not declare one.
const defaultExposureShare = 0.1

// noOldWait is the time without an old server after which there is nothing left to compare with.
// Announcements that are lost in an outage of the registry return within it.
const noOldWait = 5 * time.Second

// overdueTime is the time after the duration at which an order is rolled back although all
// attempts go to the target. The leases of silent nodes expire well within it.
const overdueTime = 30 * time.Second

// minShift is the shortest time between the shift and completion. A version that fails under the
// whole load shows it in two looks.
const minShift = 1200 * time.Millisecond

// minHubTime is the time for which a hub tests before it decides. Every node reports in it, also
// that it judged alone, before the target is used again.
const minHubTime = 1200 * time.Millisecond

// fewOld is the number of responses of the old versions beyond which a target version without
// any response is not reachable.
const fewOld = 500

// System decides on roll-outs.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "rollo" }

// Run looks at each open order that is due.
func (System) Run(s *state.State, now time.Duration) {
	if s.Tally() == nil {
		return
	}
	for i := s.Orders().Len() - 1; i >= 0; i-- {
		row := s.Orders().At(i)
		if until := row.WithdrawnUntil(); until > 0 && now >= until {
			order := row.Order()
			s.Record("rollout", order.Service(), "the effect of the withdrawn order ended; versions are ignored")
			s.Orders().Remove(s.Orders().ID(i))
			s.SetViewStale(true)
			continue
		}
		if row.Open() && now-row.DecidedAt() >= decideInterval {
			decide(s, row, now)
		}
		if row.OutcomeLost() && beats.IsFirstHub(s, now) {
			order := row.Order()
			writeState(s, row, order.State(), "the registry has lost it", now)
		}
	}
}

// decide looks at one order.
func decide(s *state.State, row *orders.Row, now time.Duration) {
	elapsed := now - row.DecidedAt()
	row.SetDecidedAt(now)
	judgeAlone(s, row, elapsed, now)
	if !s.Hub() {
		row.SetDeciding(false)
		row.SetHubSince(0)
		return
	}
	if row.HubSince() == 0 {
		row.SetHubSince(now)
	}
	if now-row.HubSince() < minHubTime {
		elapsed = max(elapsed, row.Age()) // the first report of a node has its counts since it learned of the order
	}
	observe(s, row, elapsed)
	deciding := now-row.HubSince() >= minHubTime && beats.IsFirstHub(s, now) && beats.HearsMost(s, now)
	if deciding && !row.Deciding() {
		order := row.Order()
		row.SetNextShare(row.Share()) // what an earlier decider granted is continued
		row.SetNextShift(row.Shift())
		row.SetShiftedAt(now)
		s.Record("rollout_phase", order.Service(), fmt.Sprintf("this node decides: share %.3f, shift %t, %d nodes reported, order known for %s", row.Share(), row.Shift(), len(row.Reports()), row.Age()))
	}
	row.SetDeciding(deciding)
	if deciding && !row.Rejected() {
		advance(s, row, now)
	}
	if deciding {
		write(s, row, now)
	}
	grants.GrantSelf(s, row, now)
}

// judgeAlone rejects the target version on this node's own responses once its lease has expired
// without another grant. The next decider, which may know only the sums, learns of it.
func judgeAlone(s *state.State, row *orders.Row, elapsed, now time.Duration) {
	order := row.Order()
	counts := s.Tally().Read(order.Service(), row.OpenedRevision())
	row.ObserveOwn(counts.Routes(), elapsed)
	if !row.Rejected() && row.Share() > 0 && now >= row.TargetUntil() && row.Own().Rejected() {
		reject(s, row, "no decider was heard, and on this node "+row.Own().Evidence())
	}
}

// observe gives the reported responses to the test.
func observe(s *state.State, row *orders.Row, elapsed time.Duration) {
	if row.Test() == nil {
		row.SetTest(&canary.Test{})
	}
	for route, c := range row.Pending() {
		row.Test().Observe(route, elapsed, c.Old(), c.OldBad(), c.Target(), c.TargetBad())
	}
	clear(row.Pending())
	if row.Rejected() {
		return
	}
	if row.Test().Rejected() {
		reject(s, row, row.Test().Evidence())
		return
	}
	for node, report := range row.Reports() {
		if r := report.Report(); r.Rejected() {
			reject(s, row, node+" was told by another decider that the version is bad")
			return
		}
	}
}

// reject ends the use of the target version. Heartbeats are sent at once.
func reject(s *state.State, row *orders.Row, reason string) {
	order := row.Order()
	row.SetRejected(true)
	row.SetShare(0)
	row.SetTargetUntil(0)
	s.SetHeartbeatsDue(true)
	s.SetViewStale(true)
	s.Record("rollout_verdict", order.Service(), fmt.Sprintf("target %s is rolled back: %s; %d nodes reported, order known for %s", order.TargetVersion(), reason, len(row.Reports()), row.Age()))
}

// advance raises the share, starts the shift or gives up.
func advance(s *state.State, row *orders.Row, now time.Duration) {
	order := row.Order()
	row.SetAge(max(row.Age(), now-row.LearnedAt()))
	targets, olds := serversOf(s, row)
	part := float64(row.Age()) / float64(order.Duration())
	switch {
	case targets > 0 && olds == 0 && row.NoOldSince() == 0:
		row.SetNoOldSince(now)
	case targets == 0 || olds > 0:
		row.SetNoOldSince(0)
	}
	switch {
	case row.NextShift() && targets == 0:
		reject(s, row, "the servers of the target are gone")
	case row.NextShift() && row.Age() >= order.Duration()+overdueTime:
		reject(s, row, "some nodes did not stop using the old versions")
	case row.NextShift():
	case part >= 1:
		reject(s, row, "it was not proven within the duration; "+row.Test().Evidence())
	case targets == 0:
		wait(s, row)
	case row.NoOldSince() > 0 && now-row.NoOldSince() >= noOldWait:
		enter(s, row, 1, true, now)
	case part >= latePart && unreachable(row):
		reject(s, row, "it gave no response, while the old versions gave more than "+fmt.Sprint(fewOld))
	case now-row.ShiftedAt() < minShift || (part >= shiftPart && !allReport(s, row, now)):
		// A new decider has not received all counts yet, and a node that does not report would
		// keep the order from being completed.
	case part >= latePart, part >= shiftPart && !row.Test().InDoubt() && !unreachable(row):
		enter(s, row, 1, true, now)
	default:
		step := min(int(part/stepPart), len(shareSteps)-1)
		if row.Test().InDoubt() {
			step = 0
		}
		enter(s, row, shareSteps[step]*exposureShare(s), false, now)
	}
	row.SetWaiting(row.Waiting() && targets == 0)
}

// wait keeps an order open whose target has no server.
func wait(s *state.State, row *orders.Row) {
	order := row.Order()
	if !row.Waiting() {
		s.Record("rollout_waiting", order.Service(), "no server of version "+order.TargetVersion()+" is announced")
	}
	row.SetWaiting(true)
	row.SetNextShare(0)
}

// enter sets the share that is granted from now on.
func enter(s *state.State, row *orders.Row, share float64, shift bool, now time.Duration) {
	if share == row.NextShare() && shift == row.NextShift() {
		return
	}
	order := row.Order()
	row.SetNextShare(share)
	row.SetNextShift(shift)
	row.SetShiftedAt(now)
	s.SetHeartbeatsDue(true)
	s.Record("rollout_phase", order.Service(), fmt.Sprintf("target %s: share %.3f, shift %t: %s; %d nodes reported, order known for %s", order.TargetVersion(), share, shift, row.Test().Evidence(), len(row.Reports()), row.Age()))
}

func exposureShare(s *state.State) float64 {
	if s.ExposureShare() == 0 {
		return defaultExposureShare
	}
	return s.ExposureShare()
}

// unreachable reports whether the target gave no response although the service is in use.
func unreachable(row *orders.Row) bool {
	old := uint64(0)
	for _, report := range row.Reports() {
		r := report.Report()
		for _, c := range r.Counts() {
			old += c.Old()
		}
	}
	return row.Test().Responses() == 0 && old > fewOld
}

// serversOf returns the numbers of announced servers of the target and of other versions that
// the order allows.
func serversOf(s *state.State, row *orders.Row) (targets, olds int) {
	order := row.Order()
	for i := range s.Servers().Len() {
		server := s.Servers().At(i)
		replica := server.Replica()
		switch {
		case replica.Service() != order.Service() || server.UnannouncedAt() > 0 || replica.Draining():
		case replica.Version() == order.TargetVersion():
			targets++
		case row.Allowed(replica.Version()):
			olds++
		}
	}
	return targets, olds
}

// stateOf returns the state that the registry is to have.
func stateOf(s *state.State, row *orders.Row, now time.Duration) lagoon.RolloutState {
	switch {
	case row.Rejected():
		return lagoon.RolloutRolledBack
	case row.NextShift() && now-row.ShiftedAt() >= minShift && !row.Test().InDoubt() && allSwitched(s, row, now):
		return lagoon.RolloutCompleted
	case row.Waiting():
		return row.Order().State()
	}
	return lagoon.RolloutRunning
}
