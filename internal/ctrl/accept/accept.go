// Package accept writes operators' changes to the platform and reports when they
// are in force.
//
// # Usage
//
//	accept.Change(w, change, reply)          // on the control goroutine
//	systems = append(systems, accept.System{})
//
// A change is accepted by a conditional write of the configuration. It is in force
// once every member either has it or has lost its lease, and so has stopped sending
// requests.
package accept

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/change"
	"github.com/lagoontrail/lagoon/internal/ctrl/renew"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/lease"
)

// Limits of a change.
const (
	writeTimeout     = 5 * time.Second
	inForceTimeout   = 5 * time.Second // from acceptance until the change is in force
	maxWriteAttempts = 8
)

// System calls the waiters, such as those for a change to be in force.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "accept" }

// Run calls each waiter and keeps those that are not done.
func (System) Run(w *world.World, now time.Duration) {
	for _, waiter := range w.TakeWaiters() {
		if !waiter(now) {
			w.AddWaiter(waiter)
		}
	}
}

// Change writes a change and calls reply once, on the control goroutine. The error
// wraps lagoon.ErrConflict if the resource has another version, with that version
// in the result, and lagoon.ErrUnavailable if the change may or may not have been
// accepted.
func Change(w *world.World, c lagoon.Change, reply func(result lagoon.ChangeResult, err error)) {
	repo := w.Repo()
	w.Spawn(writeTimeout, func(ctx context.Context) func(*world.World) {
		next, result, err := writeConfig(ctx, repo, c)
		if err != nil {
			return func(*world.World) { reply(result, err) }
		}
		return func(w *world.World) { awaitInForce(w, next, result, reply) }
	})
}

// writeConfig applies the change to the platform's configuration. It retries when
// the configuration changed between read and write.
func writeConfig(ctx context.Context, repo lagoon.Repository, c lagoon.Change) (lagoon.Config, lagoon.ChangeResult, error) {
	var result lagoon.ChangeResult
	for range maxWriteAttempts {
		current, version, err := repo.Config(ctx)
		if err != nil {
			return current, result, errors.Wrap(err, "read the configuration; nothing was changed")
		}
		next, resourceVersion, err := change.Apply(current, c)
		result.SetVersion(resourceVersion)
		result.SetRevision(next.Revision())
		if err != nil {
			return current, result, err
		}
		err = repo.PutConfig(ctx, next, version)
		if err == nil {
			return next, result, nil
		}
		if !errors.Is(err, lagoon.ErrConflict) {
			return current, result, errors.Wrap(err, "write the configuration")
		}
	}
	return lagoon.Config{}, result, errors.Wrap(lagoon.ErrConflict, "other operators kept changing the configuration; nothing was changed")
}

// awaitInForce adopts the accepted configuration and replies once it is in force,
// or after inForceTimeout.
func awaitInForce(w *world.World, next lagoon.Config, result lagoon.ChangeResult, reply func(result lagoon.ChangeResult, err error)) {
	startedAt := w.Clock().Now()
	var majorityAt time.Duration
	w.AdoptConfig(next, "an operator's change through this node")
	w.AddWaiter(func(now time.Duration) bool {
		if majorityAt == 0 && majorityHasRevision(w, next.Revision()) {
			majorityAt = now
		}
		done := allNodesHaveRevision(w, next.Revision(), startedAt, now) || staleNodesStopped(w, majorityAt, now)
		if !done && now-startedAt < inForceTimeout {
			return false
		}
		result.SetInForce(done)
		result.SetDuration(now - startedAt)
		reply(result, nil)
		return true
	})
}

// allNodesHaveRevision reports whether every member, and every other node that sent a
// heartbeat recently, has the revision. Before the placement has settled, it also
// requires that TakeoverDelay has passed since the change was accepted.
func allNodesHaveRevision(w *world.World, revision uint64, startedAt, now time.Duration) bool {
	for _, m := range w.Placement().Members() {
		if !memberHasRevision(w, m, revision) {
			return false
		}
	}
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		leaseExpired := n.HeartbeatAt() == 0 || now-n.HeartbeatAt() > lease.TakeoverDelay
		if n.ConfigRevision() < revision && !n.Ended() && !leaseExpired {
			return false
		}
	}
	return w.SettledAt() > 0 || now-startedAt > lease.TakeoverDelay
}

func memberHasRevision(w *world.World, m lagoon.Member, revision uint64) bool {
	if m.Name() == w.Self().Name() || w.RunEnded(m) {
		return true
	}
	n, ok := w.Nodes().Find(m.Name())
	return ok && n.Member().StartID() == m.StartID() && n.ConfigRevision() >= revision
}

func majorityHasRevision(w *world.World, revision uint64) bool {
	count := 0
	for _, m := range w.Placement().Members() {
		if memberHasRevision(w, m, revision) {
			count++
		}
	}
	return count*2 > len(w.Placement().Members())
}

// staleNodesStopped reports whether every node without the revision is certain to
// have lost its lease: a majority has had the revision for longer than a lease,
// and the placement that defines the majority is in force.
func staleNodesStopped(w *world.World, majorityAt, now time.Duration) bool {
	return majorityAt > 0 && now-majorityAt >= lease.TakeoverDelay && renew.PlacementInForce(w, now)
}
