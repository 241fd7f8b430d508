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

	granted     bool          // whether a decider has sent a grant for the order
	grantEcho   time.Duration // the send time of the report that the last grant answers
	share       float64       // the share of the attempts that go to the target version
	shift       bool          // whether all attempts go to the target version
	rejected    bool          // whether a decider said that the target version is bad
	targetUntil time.Duration // until when the target version may be used
	oldUntil    time.Duration // until when the old versions may be used; 0 for no limit
	oldFrom     time.Duration // from when the old versions may be used again after the node reported that it does not use them
	badLimit    uint64        // the number of bad responses at which the node stops using the target; 0 for no limit
	sent        []Sent        // the reports that a grant may still answer

	shiftSentAt time.Duration // when the shift was published to traffic; 0 if it is not

	writing bool // whether a write of the order's state is in progress
}

// Sent is one report that was sent.
type Sent struct {
	at  time.Duration // the send time
	bad uint64        // the bad responses of the target version until then
}

// NewSent returns the record of a report.
func NewSent(at time.Duration, bad uint64) Sent { return Sent{at: at, bad: bad} }

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
	r.order = order
	r.withdrawnUntil = 0
	if r.Open() && (!open || replaced) {
		*r = Row{order: order, excluded: r.excluded, learnedAt: now, openedRevision: order.Revision(), writing: r.writing}
		return "ordered"
	}
	if before.State() != order.State() || !known {
		return "now " + order.State().String()
	}
	return ""
}

// Withdraw applies the removal of the order. One that was not completed keeps its effect as if
// it had been rolled back.
func (r *Row) Withdraw(now time.Duration) {
	if r.order.State() != lagoon.RolloutCompleted {
		r.order.SetState(lagoon.RolloutRolledBack)
	}
	r.withdrawnUntil = max(now+minWithdrawnTime, r.learnedAt+r.order.Duration())
}

// Allowed reports whether servers of a version may be used at all, apart from the shares and
// times of an open order.
func (r *Row) Allowed(version string) bool {
	switch {
	case r.order.State() == lagoon.RolloutCompleted && r.order.TargetVersion() != "":
		return version == r.order.TargetVersion()
	case r.order.State() == lagoon.RolloutRolledBack && version == r.order.TargetVersion():
		return false
	}
	return !slices.Contains(r.excluded, version)
}
