// Package watchr watches the platform's objects and polls its instance list.
//
// # Usage
//
//	systems = append(systems, watchr.System{})
//
// Only the first live members by name watch the platform, so the number of
// platform calls does not grow with the number of nodes. They push updates to the
// other nodes. A node without a lease calls the platform itself.
package watchr

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/nodes"
	"github.com/lagoontrail/lagoon/internal/world"
)

// maxWatchers is the number of members that watch the platform.
const maxWatchers = 2

// Timing of platform calls.
const (
	listInterval    = 2 * time.Second
	callTimeout     = 2 * time.Second
	watchTimeout    = 30 * time.Second
	retryDelay      = 500 * time.Millisecond
	runEndedTimeout = 30 * time.Second // time without a heartbeat and missing from the instance list after which a run has ended; the list is assumed to lag by less
)

// System watches the platform.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "watchr" }

// Run starts the calls that are due.
func (s System) Run(w *world.World, now time.Duration) {
	if !s.isWatcher(w, now) && w.StateLoaded() && w.LeaseUntil() > now {
		return
	}
	if now >= w.PlatformRetryAt() {
		s.startWatches(w)
	}
	if !w.ListingInstances() && (w.InstancesListedAt() == 0 || now-w.InstancesListedAt() >= listInterval) {
		s.startList(w, now)
	}
}

// isWatcher reports whether this node is among the first maxWatchers live members.
func (System) isWatcher(w *world.World, now time.Duration) bool {
	preceding := 0
	for _, m := range w.Placement().Members() {
		if m.Name() == w.Self().Name() {
			return preceding < maxWatchers
		}
		if w.Live(m.Name(), now) {
			preceding++
		}
	}
	return false
}

// startWatches starts a call for each object that has none in progress: a read at
// first, a watch after that.
func (s System) startWatches(w *world.World) {
	repo := w.Repo()
	if !w.ConfigWatching() {
		w.SetConfigWatching(true)
		startCall(w, "configuration", w.ConfigObjectVersion(), repo.Config, repo.WatchConfig, func(w *world.World, c lagoon.Config, version uint64) {
			w.SetConfigWatching(false)
			if version > 0 {
				w.SetConfigObjectVersion(version)
				w.AdoptConfig(c, "the platform")
			}
		})
	}
	if !w.PlacementWatching() {
		w.SetPlacementWatching(true)
		startCall(w, "placement", w.PlacementObjectVersion(), repo.Placement, repo.WatchPlacement, func(w *world.World, p lagoon.Placement, version uint64) {
			w.SetPlacementWatching(false)
			if version > 0 {
				w.SetPlacementObjectVersion(version)
				w.AdoptPlacement(p, "the platform")
			}
		})
	}
}

type readFunc[V any] func(ctx context.Context) (V, uint64, error)

type watchFunc[V any] func(ctx context.Context, after uint64) (V, uint64, error)

// startCall reads an object if no version of it is known, or watches it for a newer
// version. It calls apply with version 0 if there is nothing new or the call failed.
func startCall[V any](w *world.World, object string, knownVersion uint64, read readFunc[V], watch watchFunc[V], apply func(w *world.World, v V, version uint64)) {
	timeout := watchTimeout
	if knownVersion == 0 {
		timeout = callTimeout
	}
	w.Spawn(timeout, func(ctx context.Context) func(*world.World) {
		var v V
		var version uint64
		var err error
		if knownVersion == 0 {
			v, version, err = read(ctx)
		} else {
			v, version, err = watch(ctx, knownVersion)
		}
		return func(w *world.World) {
			now := w.Clock().Now()
			if err != nil && !errors.Is(err, lagoon.ErrNotFound) {
				w.SetPlatformRetryAt(now + retryDelay)
				w.RecordAction("platform_failed", object, err.Error())
				apply(w, v, 0)
				return
			}
			if version == 0 && knownVersion == 0 {
				w.SetPlatformRetryAt(now + retryDelay)
			}
			w.SetStateLoaded(true)
			apply(w, v, version)
		}
	})
}

func (s System) startList(w *world.World, now time.Duration) {
	repo := w.Repo()
	w.SetListingInstances(true)
	w.SetInstancesListedAt(now)
	w.Spawn(callTimeout, func(ctx context.Context) func(*world.World) {
		instances, err := repo.Instances(ctx)
		return func(w *world.World) {
			w.SetListingInstances(false)
			if err == nil {
				s.applyInstances(w, instances, w.Clock().Now())
			}
		}
	})
}

// applyInstances adds the nodes of the instance list. The list lags, so a run counts
// as ended only when it has been missing and has sent no heartbeat for runEndedTimeout.
func (System) applyInstances(w *world.World, instances []lagoon.Instance, now time.Duration) {
	for _, in := range instances {
		if in.Name() == w.Self().Name() {
			continue
		}
		n := w.Nodes().Ensure(in.Name())
		if n.Member().Name() == "" {
			n.SetMember(newMember(in))
			n.SetDiscoveredAt(now)
		}
		if in.StartID() == 0 || in.StartID() == n.Member().StartID() {
			n.SetListedAt(now)
		}
	}
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if runEnded(n, now) {
			n.SetEnded(true)
			w.RecordAction("node_gone", w.Nodes().Key(i), fmt.Sprintf("missing from the instance list and no heartbeat for %s", runEndedTimeout))
		}
	}
}

func runEnded(n *nodes.Row, now time.Duration) bool {
	return !n.Ended() && n.ListedAt() > 0 && now-n.ListedAt() > runEndedTimeout && now-n.HeartbeatAt() > runEndedTimeout
}

func newMember(in lagoon.Instance) lagoon.Member {
	var m lagoon.Member
	m.SetName(in.Name())
	m.SetAddr(in.Addr())
	m.SetZone(in.Zone())
	return m
}
