// Package orders holds the columns of one order to roll out a version in the control tables.
//
// # Usage
//
//	row := table.Ensure("desk")
//	row.SetOrder(order)
//
// Rows are keyed by service name. All times are on the node's own clock. The package also
// applies what the registry says about an order to its row.
package orders

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/canary"
)

//go:generate go run ../../accgen -dir . -rows

// minWithdrawnTime is the shortest time for which a withdrawn order keeps its effect. Servers
// that are not to be used need some seconds to stop.
const minWithdrawnTime = 30 * time.Second

// Row is one order.
type Row struct {
	order          lagoon.Rollout // the last valid order
	learnedAt      time.Duration  // when this node learned of the order while it was open
	openedRevision uint64         // the revision of the object when this node learned of the order while it was open
	withdrawnUntil time.Duration  // until when an order that operators removed keeps its effect; 0 while it exists
	excluded       []string       // the targets of earlier orders that were not completed
	old            []string       // the versions other than the target that had servers while the order was open
	endedRevision  uint64         // the revision of the object when this node learned that the order had ended; 0 before
	outcomeLost    bool           // whether the registry has lost the outcome of the order, which is to be written again

	granted     bool          // whether a decider has sent a grant for the order
	grantEcho   time.Duration // the send time of the report that the last grant answers
	share       float64       // the share of the attempts that go to the target version
	shift       bool          // whether all attempts go to the target version
	rejected    bool          // whether a decider said that the target version is bad
	targetUntil time.Duration // until when the target version may be used
	oldUntil    time.Duration // until when the old versions may be used; 0 for no limit
	oldFrom     time.Duration // from when the old versions may be used again after the node reported that it does not use them
	committed   bool          // whether the node reported that it does not use the old versions, and no later grant took the shift back
	badLimit    uint64        // the number of bad responses at which the node stops using the target; 0 for no limit
	sent        []Sent        // the reports that a grant may still answer

	own       *canary.Test           // the test of the target version on this node's own responses
	ownCounts []lagoon.RolloutCounts // the responses that it has seen
	hubSince  time.Duration          // since when this node has tested the target version as a hub; 0 if it does not

	reports      map[string]*Report               // at a hub, the last report of each node
	pending      map[string]*lagoon.RolloutCounts // at a hub, the responses by route that the test has not seen yet
	test         *canary.Test                     // at a hub, the test of the target version
	decidedAt    time.Duration                    // at a hub, when the order was last looked at
	age          time.Duration                    // at a hub, the longest time for which a node has known the order
	deciding     bool                             // whether this node is the decider and grants
	nextShare    float64                          // the share that this node grants as the decider
	nextShift    bool                             // whether it grants all attempts to the target version
	shiftedAt    time.Duration                    // when the share that it grants last changed, or it became the decider
	noOldSince   time.Duration                    // since when no old server was announced; 0 if one is
	waiting      bool                             // whether the order waits for servers of the target
	writing      bool                             // whether a write of the order's state is in progress
	writtenState lagoon.RolloutState              // the state that was written last
	writtenAt    time.Duration                    // when it was written
}

// Report is the last report of one node.
type Report struct {
	report lagoon.RolloutReport // the report
	sentAt time.Duration        // when it was sent, on the sender's clock
	at     time.Duration        // when it was received
}

// Sent is one report that was sent.
type Sent struct {
	at  time.Duration // the send time
	bad uint64        // the bad responses of the target version until then
}

// NewSent returns the record of a report.
func NewSent(at time.Duration, bad uint64) Sent { return Sent{at: at, bad: bad} }

// Receive takes in the report of a node. Counts that are lower than before are those of a new
// run of the node.
func (r *Row) Receive(node string, report lagoon.RolloutReport, sentAt, now time.Duration) {
	if r.reports == nil {
		r.reports, r.pending = map[string]*Report{}, map[string]*lagoon.RolloutCounts{}
	}
	old, ok := r.reports[node]
	if !ok {
		old = &Report{}
		r.reports[node] = old
	}
	for _, counts := range report.Counts() {
		r.addPending(counts, previousCounts(old.report.Counts(), counts))
	}
	old.report, old.sentAt, old.at = report, sentAt, now
	r.age = max(r.age, report.Age())
}

// ObserveOwn gives this node's own responses to its own test.
func (r *Row) ObserveOwn(counts []lagoon.RolloutCounts, elapsed time.Duration) {
	if r.own == nil {
		r.own = &canary.Test{}
	}
	for _, c := range counts {
		p := previousCounts(r.ownCounts, c)
		r.own.Observe(c.Route(), elapsed, c.Old()-p.Old(), c.OldBad()-p.OldBad(), c.Target()-p.Target(), c.TargetBad()-p.TargetBad())
	}
	r.ownCounts = counts
}

// previousCounts returns the earlier counts of the same route and run, or the zero value.
func previousCounts(earlier []lagoon.RolloutCounts, counts lagoon.RolloutCounts) lagoon.RolloutCounts {
	for _, c := range earlier {
		if c.Route() == counts.Route() && c.Old() <= counts.Old() && c.Target() <= counts.Target() && c.OldBad() <= counts.OldBad() && c.TargetBad() <= counts.TargetBad() {
			return c
		}
	}
	return lagoon.RolloutCounts{}
}

func (r *Row) addPending(counts, previous lagoon.RolloutCounts) {
	p, ok := r.pending[counts.Route()]
	if !ok {
		p = &lagoon.RolloutCounts{}
		p.SetRoute(counts.Route())
		r.pending[counts.Route()] = p
	}
	p.SetOld(p.Old() + counts.Old() - previous.Old())
	p.SetOldBad(p.OldBad() + counts.OldBad() - previous.OldBad())
	p.SetTarget(p.Target() + counts.Target() - previous.Target())
	p.SetTargetBad(p.TargetBad() + counts.TargetBad() - previous.TargetBad())
}

// Open reports whether the order exists and has not ended.
func (r *Row) Open() bool {
	return r.order.TargetVersion() != "" && r.withdrawnUntil == 0 && !r.order.State().Closed()
}

// Apply applies a version of the order in the registry. It returns what changed, for logs, or
// an empty string.
func (r *Row) Apply(order lagoon.Rollout, now time.Duration) string {
	if order.Revision() <= r.order.Revision() {
		return ""
	}
	if order.Invalid() {
		r.order.SetRevision(order.Revision()) // the state of the order in force is written under it
		return ""
	}
	known, open, before := r.order.TargetVersion() != "", r.Open(), r.order
	replaced := known && order.TargetVersion() != before.TargetVersion()
	if replaced && before.State() != lagoon.RolloutCompleted && !slices.Contains(r.excluded, before.TargetVersion()) {
		r.excluded = append(r.excluded, before.TargetVersion())
	}
	r.excluded = slices.DeleteFunc(r.excluded, func(version string) bool { return version == order.TargetVersion() })
	r.old = slices.DeleteFunc(r.old, func(version string) bool { return version == order.TargetVersion() })
	r.order = order
	r.withdrawnUntil = 0
	r.outcomeLost = false
	if order.State().Closed() && (replaced || !known || !before.State().Closed()) {
		r.endedRevision = order.Revision()
	}
	if r.Open() && (!open || replaced) {
		*r = Row{order: order, excluded: r.excluded, learnedAt: now, openedRevision: order.Revision(), writing: r.writing}
		return "ordered"
	}
	if before.State() != order.State() || !known {
		return "now " + order.State().String()
	}
	return ""
}

// Keep applies a version of the order that a restored registry has without its outcome, and reports
// whether it is one: the outcome stays, and is to be written again.
func (r *Row) Keep(order lagoon.Rollout) bool {
	ended := r.order.State().Closed() && r.withdrawnUntil == 0
	if !ended || order.Invalid() || order.State().Closed() || order.TargetVersion() != r.order.TargetVersion() || order.Revision() <= r.order.Revision() {
		return false
	}
	r.order.SetRevision(order.Revision())
	r.outcomeLost = true
	return true
}

// Withdraw applies the removal of the order. One that was not completed keeps its effect as if
// it had been rolled back.
func (r *Row) Withdraw(now time.Duration) {
	if r.order.State() != lagoon.RolloutCompleted {
		r.order.SetState(lagoon.RolloutRolledBack)
	}
	r.withdrawnUntil = max(now+minWithdrawnTime, r.learnedAt+r.order.Duration())
}

// ObserveVersion records the version of an announced server as old if the order is open, or the
// server was announced before the order ended. The latter matters for nodes that start later.
func (r *Row) ObserveVersion(version string, revision uint64) {
	if version == r.order.TargetVersion() || slices.Contains(r.old, version) {
		return
	}
	if r.Open() || revision < r.endedRevision {
		r.old = append(r.old, version)
	}
}

// Allowed reports whether servers of a version may be used at all, apart from the shares and
// times of an open order. Only versions that were old while a completed order was open stay
// unused, because later versions replace its target without an order.
func (r *Row) Allowed(version string) bool {
	switch {
	case r.order.State() == lagoon.RolloutCompleted && r.order.TargetVersion() != "":
		return !slices.Contains(r.old, version)
	case r.order.State() == lagoon.RolloutRolledBack && version == r.order.TargetVersion():
		return false
	}
	return !slices.Contains(r.excluded, version)
}
