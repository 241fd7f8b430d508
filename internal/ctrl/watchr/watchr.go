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
	if now >= w.RetryAt() {
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

// watch follows each object: it is read once, then waited for, again and again.
func (s System) watch(w *world.World) {
	repo := w.Repo()
	if !w.ConfigWatched() {
		w.SetConfigWatched(true)
		follow(w, "configuration", w.ConfigVersion(), repo.Config, repo.WatchConfig, func(w *world.World, c lagoon.Config, version uint64) {
			w.SetConfigWatched(false)
			if version > 0 {
				w.SetConfigVersion(version)
				w.AdoptConfig(c, "the platform")
			}
		})
	}
	if !w.PlaceWatched() {
		w.SetPlaceWatched(true)
		follow(w, "placement", w.PlaceVersion(), repo.Placement, repo.WatchPlacement, func(w *world.World, p lagoon.Placement, version uint64) {
			w.SetPlaceWatched(false)
			if version > 0 {
				w.SetPlaceVersion(version)
				w.AdoptPlacement(p, "the platform")
			}
		})
	}
}

type read[V any] func(ctx context.Context) (V, uint64, error)

type wait[V any] func(ctx context.Context, after uint64) (V, uint64, error)

// follow reads an object of which no version is known, or waits for one after
// the version known. take gets version 0 when there is nothing new.
func follow[V any](w *world.World, what string, known uint64, get read[V], next wait[V], take func(w *world.World, v V, version uint64)) {
	limit := watchLimit
	if known == 0 {
		limit = callLimit
	}
	w.Spawn(limit, func(ctx context.Context) func(*world.World) {
		var v V
		var version uint64
		var err error
		if known == 0 {
			v, version, err = get(ctx)
		} else {
			v, version, err = next(ctx, known)
		}
		return func(w *world.World) {
			now := w.Clock().Now()
			if err != nil && !errors.Is(err, lagoon.ErrAbsent) {
				w.SetRetryAt(now + retryAfter)
				w.Act("platform_failed", what, err.Error())
				take(w, v, 0)
				return
			}
			if version == 0 && known == 0 {
				w.SetRetryAt(now + retryAfter)
			}
			w.SetLoaded(true)
			take(w, v, version)
		}
	})
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
