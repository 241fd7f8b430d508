// Package spread sends heartbeats, and pushes what other nodes lack.
//
// # Usage
//
//	systems = append(systems, spread.System{})
//
// It reads servers and writes nodes. A heartbeat goes to every known node each
// Every, and at once when something was adopted. It carries the status of the
// servers that this node owns, as far as it changed since the last one.
package spread

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/nodes"
	"github.com/lagoontrail/lagoon/internal/world"
)

// Every is the time between two regular heartbeats.
const Every = 400 * time.Millisecond

// pushAgain is the time after which a push that did not help is repeated.
const pushAgain = 500 * time.Millisecond

// urgent is the age of a changed status that makes a heartbeat go out early.
const urgent = 100 * time.Millisecond

// System sends heartbeats.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "spread" }

// Run sends what is due.
func (s System) Run(w *world.World, now time.Duration) {
	s.pushAll(w, now)
	due := w.BeatAt() == 0 || now-w.BeatAt() >= Every
	if !due && !w.BeatSoon() && !(s.changed(w) && now-w.BeatAt() >= urgent) {
		return
	}
	w.SetBeatAt(now)
	w.SetBeatSoon(false)
	for i := range w.Nodes().Len() {
		s.beat(w, w.Nodes().At(i), now)
	}
	s.beatSeeds(w, now)
}

// changed reports whether some live node lacks the latest status changes.
func (System) changed(w *world.World) bool {
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if n.Heard() > 0 && !n.Gone() && n.StatusSeen() < w.Change() {
			return true
		}
	}
	return false
}

func (s System) beat(w *world.World, n *nodes.Row, now time.Duration) {
	if n.Gone() || n.Member().Addr() == "" {
		return
	}
	b := s.compose(w, now)
	b.SetEcho(n.Stamp())
	b.SetEchoStart(n.Member().Start())
	b.SetStatuses(s.statuses(w, n.StatusSeen()))
	if w.Link().Send(n.Member().Addr(), b) {
		n.SetStatusSeen(w.Change())
	} else {
		n.SetStatusSeen(0)
	}
}

func (System) compose(w *world.World, now time.Duration) *lagoon.Beat {
	b := &lagoon.Beat{}
	b.SetFrom(w.Self())
	b.SetSent(now)
	b.SetPlacement(w.Placement().Version())
	b.SetConfig(w.Config().Revision())
	b.SetLeaving(w.Stopping() > 0)
	b.SetReady(w.Lease() > now && w.Stopping() == 0)
	return b
}

// statuses returns the statuses that changed after a counter value. After a
// failed send everything goes again.
func (System) statuses(w *world.World, after uint64) []lagoon.ServerStatus {
	var out []lagoon.ServerStatus
	for i := range w.Servers().Len() {
		row := w.Servers().At(i)
		if row.Changed() > after && (row.Mine() || row.Status().Released()) {
			status := row.Status()
			if !status.Released() {
				status.SetPlacement(w.Placement().Version())
				status.SetUp(status.Up() && row.Acting())
			}
			out = append(out, status)
		}
	}
	return out
}

// beatSeeds tries the addresses of the settings at which no node is known yet.
func (s System) beatSeeds(w *world.World, now time.Duration) {
	for _, addr := range w.Seeds() {
		if addr != w.Self().Addr() && !s.known(w, addr) {
			w.Link().Send(addr, s.compose(w, now))
		}
	}
}

func (System) known(w *world.World, addr string) bool {
	for i := range w.Nodes().Len() {
		if w.Nodes().At(i).Member().Addr() == addr {
			return true
		}
	}
	return false
}

// pushAll sends the configuration and the placement to live nodes that have
// older ones.
func (System) pushAll(w *world.World, now time.Duration) {
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		behind := n.Config() < w.Config().Revision() || n.Placement() < w.Placement().Version()
		fresh := n.Pushed() < max(w.ConfigAt(), w.PlacedAt())
		if n.Heard() == 0 || n.Gone() || !behind || (!fresh && now-n.Pushed() < pushAgain) {
			continue
		}
		n.SetPushed(now)
		push(w, n)
	}
}

func push(w *world.World, n *nodes.Row) {
	addr := n.Member().Addr()
	if n.Config() < w.Config().Revision() {
		m := &lagoon.ConfigPush{}
		m.SetConfig(w.Config())
		w.Link().Send(addr, m)
	}
	if n.Placement() < w.Placement().Version() {
		m := &lagoon.PlacementPush{}
		m.SetPlacement(w.Placement())
		w.Link().Send(addr, m)
	}
}
