// Package place proposes a new placement when the live nodes or the declared
// servers change.
//
// # Usage
//
//	systems = append(systems, place.System{})
//
// Any node may propose. Each node delays its proposal by its rank among the live
// nodes, so normally only the first by name writes; the platform's conditional
// write resolves races. A version is written only when its predecessor is in
// force, so the safety argument of package lease needs to cover two versions only.
package place

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/renew"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/assign"
)

// Delays of placement changes.
const (
	bootstrapDelay = 1500 * time.Millisecond // discovery time before the first placement
	proposalDelay  = 300 * time.Millisecond  // how long the desired placement must have differed from the one in use
	rankDelay      = 600 * time.Millisecond  // additional delay for each live node that precedes this one
	joinDelay      = 400 * time.Millisecond  // from a node's discovery until it can become a member
	writeTimeout   = 3 * time.Second
)

// System proposes placements.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "place" }

// Run proposes a placement if one is due.
func (s System) Run(w *world.World, now time.Duration) {
	if !s.mayPropose(w, now) {
		w.SetPlacementStaleSince(0)
		return
	}
	next, reason := s.desiredPlacement(w, now)
	if reason == "" {
		w.SetPlacementStaleSince(0)
		return
	}
	if w.PlacementStaleSince() == 0 {
		w.SetPlacementStaleSince(now)
	}
	if now-w.PlacementStaleSince() < proposalDelay+s.rank(w, now)*rankDelay {
		return
	}
	w.SetPlacementStaleSince(0)
	w.SetPlacementWriting(true)
	w.RecordAction("placement_proposed", "placement", fmt.Sprintf("version %d: %s", next.Version(), reason))
	s.write(w, next)
}

// mayPropose reports whether this node may propose a placement now.
func (System) mayPropose(w *world.World, now time.Duration) bool {
	if w.PlacementWriting() || !w.StateLoaded() || w.StoppingSince() > 0 || w.Config().Revision() == 0 {
		return false
	}
	if w.Placement().Version() == 0 {
		return now-w.StartedAt() >= bootstrapDelay
	}
	return renew.PlacementInForce(w, now)
}

// rank returns the number of live nodes that precede this one by name.
func (System) rank(w *world.World, now time.Duration) time.Duration {
	rank := time.Duration(0)
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if name := w.Nodes().Key(i); name < w.Self().Name() && w.Live(name, now) && !n.Stopping() {
			rank++
		}
	}
	return rank
}

// desiredPlacement returns the placement for the live nodes and the declared
// servers, and the reason why it differs from the one in use, or "".
func (s System) desiredPlacement(w *world.World, now time.Duration) (lagoon.Placement, string) {
	old := w.Placement()
	members := s.liveMembers(w, now)
	var next lagoon.Placement
	next.SetVersion(old.Version() + 1)
	next.SetMembers(members)
	next.SetPreviousMembers(old.Members())
	next.SetAssignments(assign.Planner{}.Plan(old.Assignments(), serverSpecs(w), members, next.Version()))
	if reason := membershipChange(old.Members(), members); reason != "" {
		return next, reason
	}
	if !slices.Equal(old.Assignments(), next.Assignments()) {
		return next, "the declared servers or their distribution over the members changed"
	}
	return next, ""
}

// liveMembers returns this node and the live nodes that are not stopping, ordered by
// name.
func (System) liveMembers(w *world.World, now time.Duration) []lagoon.Member {
	members := []lagoon.Member{w.Self()}
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if w.Live(w.Nodes().Key(i), now) && !n.Stopping() && now-n.DiscoveredAt() >= joinDelay {
			members = append(members, n.Member())
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name() < members[j].Name() })
	return members
}

func serverSpecs(w *world.World) []lagoon.ServerSpec {
	specs := make([]lagoon.ServerSpec, w.Servers().Len())
	for i := range specs {
		specs[i] = w.Servers().At(i).Spec()
	}
	return specs
}

// membershipChange describes one member that joined or left, or returns "".
func membershipChange(old, next []lagoon.Member) string {
	for _, m := range old {
		if !contains(next, m) {
			return "node " + m.Name() + " stopped, failed or restarted"
		}
	}
	for _, m := range next {
		if !contains(old, m) {
			return "node " + m.Name() + " joined"
		}
	}
	return ""
}

func contains(members []lagoon.Member, m lagoon.Member) bool {
	return slices.ContainsFunc(members, func(x lagoon.Member) bool { return x.Name() == m.Name() && x.StartID() == m.StartID() })
}

// write stores the placement on the platform. The new placement is adopted only
// after a confirmed write; after a failed one, the placement read from the platform.
func (s System) write(w *world.World, next lagoon.Placement) {
	repo := w.Repo()
	w.Spawn(writeTimeout, func(ctx context.Context) func(*world.World) {
		current, version, err := repo.Placement(ctx)
		if err == nil && current.Version()+1 == next.Version() {
			err = repo.PutPlacement(ctx, next, version)
		} else if err == nil {
			err = errors.Wrapf(lagoon.ErrConflict, "the platform has version %d", current.Version())
		}
		return func(w *world.World) {
			w.SetPlacementWriting(false)
			s.finishWrite(w, next, current, err)
		}
	})
}

func (System) finishWrite(w *world.World, next, current lagoon.Placement, err error) {
	if err == nil {
		w.RecordAction("placement_written", "placement", fmt.Sprintf("version %d", next.Version()))
		w.AdoptPlacement(next, "this node's write")
		return
	}
	w.RecordAction("placement_not_written", "placement", err.Error())
	w.AdoptPlacement(current, "the platform")
}
