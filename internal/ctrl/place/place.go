// Package place writes the placement when the live nodes or the declared
// servers have changed.
//
// # Usage
//
//	systems = append(systems, place.System{})
//
// Every node can write; the first of the live members by name does, and the
// platform's conditional write settles the rest. A new version is written only
// when the one in use has been in force, which keeps the argument of package
// lease to two versions.
package place

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/stand"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/assign"
)

// Timing of placement changes.
const (
	bootstrapWait = 1500 * time.Millisecond // time to hear of other nodes before the first placement
	steadyFor     = 300 * time.Millisecond  // how long a difference lasts before it is acted on
	perRank       = 600 * time.Millisecond  // what each rank waits longer
	knownFor      = 400 * time.Millisecond  // how long a node is known before it becomes a member
	writeLimit    = 3 * time.Second
)

// System writes placements.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "place" }

// Run writes a placement if one is due.
func (s System) Run(w *world.World, now time.Duration) {
	if !s.mayWrite(w, now) {
		w.SetDiffered(0)
		return
	}
	next, why := s.wanted(w, now)
	if why == "" {
		w.SetDiffered(0)
		return
	}
	if w.Differed() == 0 {
		w.SetDiffered(now)
	}
	if now-w.Differed() < steadyFor+s.rank(w, now)*perRank {
		return
	}
	w.SetDiffered(0)
	w.SetPlacing(true)
	w.Act("placement_proposed", "placement", fmt.Sprintf("version %d: %s", next.Version(), why))
	s.write(w, next)
}

// mayWrite reports whether this node may propose a placement now.
func (System) mayWrite(w *world.World, now time.Duration) bool {
	if w.Placing() || !w.Loaded() || w.Stopping() > 0 || w.Config().Revision() == 0 {
		return false
	}
	if w.Placement().Version() == 0 {
		return now-w.Started() >= bootstrapWait
	}
	return stand.InForce(w, now)
}

// rank returns how many live nodes come before this one.
func (System) rank(w *world.World, now time.Duration) time.Duration {
	rank := time.Duration(0)
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if name := w.Nodes().Key(i); name < w.Self().Name() && w.Live(name, now) && !n.Leaving() {
			rank++
		}
	}
	return rank
}

// wanted returns the placement that fits the live nodes and the declared
// servers, and why it differs from the one in use, or "" when it does not.
func (s System) wanted(w *world.World, now time.Duration) (lagoon.Placement, string) {
	old := w.Placement()
	members := s.members(w, now)
	var next lagoon.Placement
	next.SetVersion(old.Version() + 1)
	next.SetMembers(members)
	next.SetPrevious(old.Members())
	next.SetOwners(assign.Planner{}.Plan(old.Owners(), specs(w), members, next.Version()))
	if why := membersDiffer(old.Members(), members); why != "" {
		return next, why
	}
	if !slices.Equal(old.Owners(), next.Owners()) {
		return next, "the declared servers or their spread over the members changed"
	}
	return next, ""
}

// members returns the live nodes that are not leaving, ordered by name.
func (System) members(w *world.World, now time.Duration) []lagoon.Member {
	out := []lagoon.Member{w.Self()}
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if w.Live(w.Nodes().Key(i), now) && !n.Leaving() && now-n.KnownAt() >= knownFor {
			out = append(out, n.Member())
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name() < out[j].Name() })
	return out
}

func specs(w *world.World) []lagoon.ServerSpec {
	out := make([]lagoon.ServerSpec, w.Servers().Len())
	for i := range out {
		out[i] = w.Servers().At(i).Spec()
	}
	return out
}

// membersDiffer names a member that joined or left, or returns "".
func membersDiffer(old, next []lagoon.Member) string {
	for _, m := range old {
		if !contains(next, m) {
			return "node " + m.Name() + " stopped, failed or was started anew"
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
	return slices.ContainsFunc(members, func(x lagoon.Member) bool { return x.Name() == m.Name() && x.Start() == m.Start() })
}

// write puts the placement on the platform. It adopts its own only after the
// write surely took effect, and another's after a conflict.
func (s System) write(w *world.World, next lagoon.Placement) {
	repo := w.Repo()
	w.Spawn(writeLimit, func(ctx context.Context) func(*world.World) {
		current, version, err := repo.Placement(ctx)
		if err == nil && current.Version()+1 == next.Version() {
			err = repo.PutPlacement(ctx, next, version)
		} else if err == nil {
			err = errors.Wrapf(lagoon.ErrConflict, "the platform holds version %d", current.Version())
		}
		return func(w *world.World) {
			w.SetPlacing(false)
			s.written(w, next, current, err)
		}
	})
}

func (System) written(w *world.World, next, current lagoon.Placement, err error) {
	if err == nil {
		w.Act("placement_written", "placement", fmt.Sprintf("version %d", next.Version()))
		w.AdoptPlacement(next, "its own write")
		return
	}
	w.Act("placement_not_written", "placement", err.Error())
	w.AdoptPlacement(current, "the platform")
}
