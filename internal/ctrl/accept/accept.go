// Package accept writes operators' changes to the platform and waits until
// they are in force.
//
// # Usage
//
//	accept.Change(w, change, reply)          // on the control goroutine
//	systems = append(systems, accept.System{})
//
// A change is accepted by one conditional write of the configuration. It is in
// force once every member either knows it or has been silent for longer than a
// lease, and so has stopped acting.
package accept

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/change"
	"github.com/lagoontrail/lagoon/internal/ctrl/stand"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/lease"
)

// Bounds of a change.
const (
	writeLimit = 5 * time.Second
	waitLimit  = 5 * time.Second
	attempts   = 8
)

// System waits for changes to be in force.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "accept" }

// Run asks each waiter whether it is done.
func (System) Run(w *world.World, now time.Duration) {
	for _, f := range w.Waiters() {
		if !f(now) {
			w.Wait(f)
		}
	}
}

// Change accepts one change. reply receives the outcome, once, on the control
// goroutine. Its error wraps lagoon.ErrConflict after a lost race, with the
// current version in the outcome, and lagoon.ErrUnavailable when the change may
// or may not have been accepted.
func Change(w *world.World, c lagoon.Change, reply func(a lagoon.Accepted, err error)) {
	repo := w.Repo()
	w.Spawn(writeLimit, func(ctx context.Context) func(*world.World) {
		next, accepted, err := write(ctx, repo, c)
		if err != nil {
			return func(*world.World) { reply(accepted, err) }
		}
		return func(w *world.World) { spread(w, next, accepted, reply) }
	})
}

// write applies the change to the configuration that the platform holds. A
// conflict with a change to another resource is tried again.
func write(ctx context.Context, repo lagoon.Repository, c lagoon.Change) (lagoon.Config, lagoon.Accepted, error) {
	var accepted lagoon.Accepted
	for range attempts {
		current, version, err := repo.Config(ctx)
		if err != nil {
			return current, accepted, errors.Wrap(err, "read the configuration; nothing was changed")
		}
		next, resource, err := change.Apply(current, c)
		accepted.SetVersion(resource)
		accepted.SetRevision(next.Revision())
		if err != nil {
			return current, accepted, err
		}
		err = repo.PutConfig(ctx, next, version)
		if err == nil {
			return next, accepted, nil
		}
		if !errors.Is(err, lagoon.ErrConflict) {
			return current, accepted, errors.Wrap(err, "write the configuration")
		}
	}
	return lagoon.Config{}, accepted, errors.Wrap(lagoon.ErrConflict, "other operators kept changing the configuration; nothing was changed")
}

// spread adopts the accepted configuration and waits until it is in force.
func spread(w *world.World, next lagoon.Config, accepted lagoon.Accepted, reply func(a lagoon.Accepted, err error)) {
	began := w.Clock().Now()
	var majorityAt time.Duration
	w.AdoptConfig(next, "an operator's change accepted here")
	w.Wait(func(now time.Duration) bool {
		if majorityAt == 0 && majorityKnows(w, next.Revision()) {
			majorityAt = now
		}
		done := allKnow(w, next.Revision(), began, now) || othersStopped(w, majorityAt, now)
		if !done && now-began < waitLimit {
			return false
		}
		accepted.SetInForce(done)
		accepted.SetTook(now - began)
		reply(accepted, nil)
		return true
	})
}

// allKnow reports whether every member and every other node heard lately has
// the revision.
func allKnow(w *world.World, revision uint64, began, now time.Duration) bool {
	for _, m := range w.Placement().Members() {
		if !knows(w, m, revision) {
			return false
		}
	}
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		silent := n.Heard() == 0 || now-n.Heard() > lease.Settle
		if n.Config() < revision && !n.Gone() && !silent {
			return false
		}
	}
	return w.SettledAt() > 0 || now-began > lease.Settle
}

func knows(w *world.World, m lagoon.Member, revision uint64) bool {
	if m.Name() == w.Self().Name() || w.RunGone(m) {
		return true
	}
	n, ok := w.Nodes().Find(m.Name())
	return ok && n.Member().Start() == m.Start() && n.Config() >= revision
}

func majorityKnows(w *world.World, revision uint64) bool {
	know := 0
	for _, m := range w.Placement().Members() {
		if knows(w, m, revision) {
			know++
		}
	}
	return know*2 > len(w.Placement().Members())
}

// othersStopped reports whether the nodes that lack the revision have surely
// stopped acting: a majority has known it for longer than a lease, and so has
// the placement that says which majority counts.
func othersStopped(w *world.World, majorityAt, now time.Duration) bool {
	return majorityAt > 0 && now-majorityAt >= lease.Settle && stand.InForce(w, now)
}
