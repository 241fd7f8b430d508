// Package terms holds the terms on which a node may use the versions of a service that an open
// roll-out is about.
//
// # Usage
//
//	t := view.TermsOf("desk")
//	if t != nil && !t.MayUse(replica.Version(), now) { ... }
//
// All times are absolute, so that they hold although control or the whole process stands still.
package terms

import "time"

//go:generate go run ../../accgen -dir . -rows

// Terms are the terms of one service. Once published, they do not change.
type Terms struct {
	target      string        // the target version
	order       uint64        // the revision at which the order was opened, which identifies it
	share       float64       // the share of the attempts that go to the target version
	shift       bool          // whether all attempts go to the target version
	targetUntil time.Duration // until when the target version may be used
	oldUntil    time.Duration // until when the old versions may be used; 0 for no limit
	oldFrom     time.Duration // from when the old versions may be used
	badLimit    uint64        // the number of bad responses at which the target is not used any more; 0 for no limit
}

// MayUseTarget reports whether the target version may be used at a time.
func (t *Terms) MayUseTarget(now time.Duration) bool { return t.share > 0 && now < t.targetUntil }

// MayUseOld reports whether the old versions may be used at a time.
func (t *Terms) MayUseOld(now time.Duration) bool {
	if t.shift && t.MayUseTarget(now) {
		return false
	}
	return now >= t.oldFrom && (t.oldUntil == 0 || now < t.oldUntil)
}

// MayUse reports whether a version may be used at a time.
func (t *Terms) MayUse(version string, now time.Duration) bool {
	if version == t.target {
		return t.MayUseTarget(now)
	}
	return t.MayUseOld(now)
}
