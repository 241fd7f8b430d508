// Package receiv takes messages from other nodes into the control tables.
//
// # Usage
//
//	systems = append(systems, receiv.System{})
//
// It writes nodes and servers, and adopts newer configurations and placements.
// A returned heartbeat counts only if its sender knew nothing newer than this
// node does; package lease says why.
package receiv

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/nodes"
	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/world"
)

// System takes messages in.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "receiv" }

// Run takes in the messages of this tick. What is newer is adopted first, so
// that a heartbeat that came with it counts.
func (s System) Run(w *world.World, now time.Duration) {
	for _, m := range w.Inbox() {
		switch m := m.(type) {
		case *lagoon.ConfigPush:
			w.AdoptConfig(m.Config(), "a peer")
		case *lagoon.PlacementPush:
			w.AdoptPlacement(m.Placement(), "a peer")
		}
	}
	for _, m := range w.Inbox() {
		if b, ok := m.(*lagoon.Beat); ok {
			s.beat(w, b, now)
		}
	}
	for _, statuses := range w.Told() {
		for _, status := range statuses {
			s.own(w, status, now)
		}
	}
}

func (s System) beat(w *world.World, b *lagoon.Beat, now time.Duration) {
	from := b.From()
	if from.Name() == "" || from.Name() == w.Self().Name() {
		return
	}
	n := w.Nodes().Ensure(from.Name())
	if from.Start() < n.Member().Start() {
		return
	}
	if from.Start() > n.Member().Start() || n.Gone() {
		*n = nodes.Row{}
		w.Touch()
		n.SetMember(from)
		n.SetKnownAt(now)
		w.Act("node_seen", from.Name(), "first heartbeat of this run, from "+from.Addr()+" in zone "+from.Zone())
	}
	n.SetMember(from)
	n.SetHeard(now)
	n.SetStamp(b.Sent())
	n.SetPlacement(b.Placement())
	n.SetConfig(b.Config())
	n.SetLeaving(b.Leaving())
	n.SetReady(b.Ready())
	if b.EchoStart() == w.Self().Start() && b.Placement() <= w.Placement().Version() && b.Config() <= w.Config().Revision() {
		n.SetReturned(max(n.Returned(), b.Echo()))
	}
	for _, status := range b.Statuses() {
		s.peerStatus(w, from, status, now)
	}
}

// peerStatus keeps what a server's owner tells of it.
func (System) peerStatus(w *world.World, from lagoon.Member, status lagoon.ServerStatus, now time.Duration) {
	row, ok := w.Servers().Find(status.Server())
	if !ok {
		return
	}
	if status.Released() {
		row.SetFreedAt(max(row.FreedAt(), status.Placement()))
		return
	}
	if a := row.Assignment(); a.Owner() != from.Name() || a.Start() != from.Start() {
		return
	}
	row.SetStatus(status)
	row.SetHeard(now)
	w.Touch()
}

// own merges what a lane of this node tells of a server's gate.
func (System) own(w *world.World, told lagoon.ServerStatus, now time.Duration) {
	row, ok := w.Servers().Find(told.Server())
	if !ok {
		return
	}
	if !row.Mine() {
		given(w, row, told)
		return
	}
	status := row.Status()
	before := status
	status.SetServer(told.Server())
	status.SetLimit(told.Limit())
	status.SetLoad(told.Load())
	status.SetLatency(told.Latency())
	status.SetEjected(told.Ejected())
	row.SetHeard(now)
	row.SetStatus(status)
	w.Touch()
	if before.Limit() != told.Limit() || before.Ejected() != told.Ejected() || moved(row.Spread(), told.Latency()) {
		row.SetSpread(told.Latency())
		Changed(w, row)
	}
}

// moved reports whether a mean time differs enough from the one last told to
// the other nodes.
func moved(before, now time.Duration) bool {
	return now*2 > before*3 || now*3 < before*2
}

// given records that the lane has none of a given-up server's requests left.
func given(w *world.World, row *srvrs.Row, told lagoon.ServerStatus) {
	if !row.Giving() || told.Load() > 0 || told.Placement() != w.Placement().Version() {
		return
	}
	var status lagoon.ServerStatus
	status.SetServer(told.Server())
	status.SetReleased(true)
	status.SetPlacement(told.Placement())
	row.SetGiving(false)
	row.SetStatus(status)
	Changed(w, row)
	w.SetBeatSoon(true)
}

// Changed marks a server's status to be sent to the other nodes.
func Changed(w *world.World, row *srvrs.Row) {
	w.SetChange(w.Change() + 1)
	row.SetChanged(w.Change())
}

// Same reports whether two statuses tell the other nodes the same.
func Same(a, b lagoon.ServerStatus) bool {
	return a.Up() == b.Up() && a.Draining() == b.Draining() && a.Start() == b.Start() &&
		a.Ejected() == b.Ejected() && a.Limit() == b.Limit() && slices.Equal(a.Snapshots(), b.Snapshots())
}
