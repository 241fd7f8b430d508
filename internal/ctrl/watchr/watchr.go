// Package watchr follows the platform's objects and its instance list.
//
// # Usage
//
//	systems = append(systems, watchr.System{})
//
// Only a few members, the first live ones by name, keep watches on the
// platform, so its calls do not grow with the fleet; they pass what they learn
// to the others with the heartbeats. A node without a lease looks for itself.
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

// relays is the number of members that watch the platform.
const relays = 2

// Timing of platform calls.
const (
	listEvery  = 2 * time.Second
	callLimit  = 2 * time.Second
	watchLimit = 30 * time.Second
	retryAfter = 500 * time.Millisecond
	listLag    = 30 * time.Second // how long a run must be missing from the list, and silent, to count as ended
)

// System follows the platform.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "watchr" }

// Run starts the calls that are due.
func (s System) Run(w *world.World, now time.Duration) {
	if !s.relay(w, now) && w.Loaded() && w.Lease() > now {
		return
	}
	if w.Watching() == 0 {
		s.watch(w)
	}
	if !w.Listing() && (w.ListedAt() == 0 || now-w.ListedAt() >= listEvery) {
		s.list(w, now)
	}
}

// relay reports whether this node is one of those that watch.
func (System) relay(w *world.World, now time.Duration) bool {
	before := 0
	for _, m := range w.Placement().Members() {
		if m.Name() == w.Self().Name() {
			return before < relays
		}
		if w.Live(m.Name(), now) {
			before++
		}
	}
	return false
}

// watch reads both objects, then waits for either to change.
func (s System) watch(w *world.World) {
	repo := w.Repo()
	w.SetWatching(2)
	start(w, "configuration", repo.Config, repo.WatchConfig, func(w *world.World, c lagoon.Config) {
		w.AdoptConfig(c, "the platform")
	})
	start(w, "placement", repo.Placement, repo.WatchPlacement, func(w *world.World, p lagoon.Placement) {
		w.AdoptPlacement(p, "the platform")
		w.SetLoaded(true)
	})
}

type read[V any] func(ctx context.Context) (V, uint64, error)

type wait[V any] func(ctx context.Context, after uint64) (V, uint64, error)

// start reads an object and hands it over, then waits for the next version
// once. The next tick starts again.
func start[V any](w *world.World, what string, get read[V], next wait[V], take func(*world.World, V)) {
	w.Spawn(watchLimit, func(ctx context.Context) func(*world.World) {
		limited, cancel := context.WithTimeout(ctx, callLimit)
		v, version, err := get(limited)
		cancel()
		if err != nil {
			pause(ctx)
			return failed(what, err)
		}
		w.Do(func(w *world.World) {
			w.SetPlatform(w.Clock().Now())
			take(w, v)
		})
		v, _, err = next(ctx, version)
		if err != nil && !errors.Is(err, lagoon.ErrAbsent) {
			pause(ctx)
			return failed(what, err)
		}
		return func(w *world.World) {
			w.SetWatching(w.Watching() - 1)
			w.SetPlatform(w.Clock().Now())
			if err == nil {
				take(w, v)
			}
		}
	})
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryAfter):
	}
}

func failed(what string, err error) func(*world.World) {
	return func(w *world.World) {
		w.SetWatching(w.Watching() - 1)
		w.Act("platform_failed", what, err.Error())
	}
}

func (s System) list(w *world.World, now time.Duration) {
	repo := w.Repo()
	w.SetListing(true)
	w.SetListedAt(now)
	w.Spawn(callLimit, func(ctx context.Context) func(*world.World) {
		list, err := repo.Instances(ctx)
		return func(w *world.World) {
			w.SetListing(false)
			if err == nil {
				s.take(w, list, w.Clock().Now())
			}
		}
	})
}

// take learns of nodes from the list. The list lags, so it only adds nodes to
// try; a run counts as ended only when it is missing for long and silent.
func (System) take(w *world.World, list []lagoon.Instance, now time.Duration) {
	for _, in := range list {
		if in.Name() == w.Self().Name() {
			continue
		}
		n := w.Nodes().Ensure(in.Name())
		if n.Member().Name() == "" {
			n.SetMember(memberOf(in))
			n.SetKnownAt(now)
		}
		if in.Start() == 0 || in.Start() == n.Member().Start() {
			n.SetListed(now)
		}
	}
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if ended(n, now) {
			n.SetGone(true)
			w.Act("node_gone", w.Nodes().Key(i), fmt.Sprintf("missing from the instance list and silent for %s", listLag))
		}
	}
}

func ended(n *nodes.Row, now time.Duration) bool {
	return !n.Gone() && n.Listed() > 0 && now-n.Listed() > listLag && now-n.Heard() > listLag
}

func memberOf(in lagoon.Instance) lagoon.Member {
	var m lagoon.Member
	m.SetName(in.Name())
	m.SetAddr(in.Addr())
	m.SetZone(in.Zone())
	return m
}
