// Package receiv applies messages from other nodes and from the traffic lanes to
// the control tables.
//
// # Usage
//
//	systems = append(systems, receiv.System{})
//
// It writes nodes and servers, and adopts newer configurations and placements.
// The echo of a heartbeat counts towards the lease only if the node that returned
// it has no newer configuration or placement; package lease explains why.
package receiv

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/nodes"
	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/world"
)

// System applies received messages.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "receiv" }

// Run applies the messages of this tick. Pushes come first, so that the echo in a
// heartbeat that arrived with them counts.
func (s System) Run(w *world.World, now time.Duration) {
	for _, m := range w.PeerMessages() {
		switch m := m.(type) {
		case *lagoon.ConfigPush:
			w.AdoptConfig(m.Config(), "a peer")
		case *lagoon.PlacementPush:
			w.AdoptPlacement(m.Placement(), "a peer")
		}
	}
	for _, m := range w.PeerMessages() {
		if b, ok := m.(*lagoon.Heartbeat); ok {
			s.applyHeartbeat(w, b, now)
		}
	}
	for _, statuses := range w.GateStatuses() {
		for _, status := range statuses {
			s.applyGateStatus(w, status, now)
		}
	}
}

func (s System) applyHeartbeat(w *world.World, b *lagoon.Heartbeat, now time.Duration) {
	from := b.From()
	if from.Name() == "" || from.Name() == w.Self().Name() {
		return
	}
	n := w.Nodes().Ensure(from.Name())
	if from.StartID() < n.Member().StartID() {
		return
	}
	if from.StartID() > n.Member().StartID() || n.Ended() {
		*n = nodes.Row{}
		w.InvalidateView()
		n.SetMember(from)
		n.SetDiscoveredAt(now)
		w.RecordAction("node_seen", from.Name(), "first heartbeat of this run, from "+from.Addr()+" in zone "+from.Zone())
	}
	n.SetMember(from)
	n.SetHeartbeatAt(now)
	n.SetHeartbeatSentAt(b.Sent())
	n.SetPlacementVersion(b.PlacementVersion())
	n.SetConfigRevision(b.ConfigRevision())
	n.SetStopping(b.Stopping())
	n.SetReady(b.Ready())
	if b.EchoStartID() == w.Self().StartID() && b.PlacementVersion() <= w.Placement().Version() && b.ConfigRevision() <= w.Config().Revision() {
		n.SetEchoedSentAt(max(n.EchoedSentAt(), b.Echo()))
	}
	for _, status := range b.Statuses() {
		s.applyPeerStatus(w, from, status, now)
	}
}

// applyPeerStatus stores a server status sent by the server's owner.
func (System) applyPeerStatus(w *world.World, from lagoon.Member, status lagoon.ServerStatus, now time.Duration) {
	row, ok := w.Servers().Find(status.Server())
	if !ok {
		return
	}
	if status.Released() {
		row.SetReleasedVersion(max(row.ReleasedVersion(), status.PlacementVersion()))
		return
	}
	if a := row.Assignment(); a.Owner() != from.Name() || a.StartID() != from.StartID() {
		return
	}
	row.SetStatus(status)
	row.SetStatusAt(now)
	w.InvalidateView()
}

// applyGateStatus merges the gate status of a server that a lane of this node
// reported.
func (System) applyGateStatus(w *world.World, reported lagoon.ServerStatus, now time.Duration) {
	row, ok := w.Servers().Find(reported.Server())
	if !ok {
		return
	}
	if !row.Owned() {
		finishRelease(w, row, reported)
		return
	}
	status := row.Status()
	previous := status
	status.SetServer(reported.Server())
	status.SetLimit(reported.Limit())
	status.SetLoad(reported.Load())
	status.SetLatency(reported.Latency())
	status.SetEjected(reported.Ejected())
	row.SetStatusAt(now)
	row.SetStatus(status)
	w.InvalidateView()
	if previous.Limit() != reported.Limit() || previous.Ejected() != reported.Ejected() || latencyChanged(row.SentLatency(), reported.Latency()) {
		row.SetSentLatency(reported.Latency())
		MarkStatusChanged(w, row)
	}
}

// latencyChanged reports whether a mean latency differs from the one last sent to
// the other nodes by a factor of more than 1.5.
func latencyChanged(sent, current time.Duration) bool {
	return current*2 > sent*3 || current*3 < sent*2
}

// finishRelease marks a server as released once the lane has none of its requests
// left.
func finishRelease(w *world.World, row *srvrs.Row, reported lagoon.ServerStatus) {
	if !row.Releasing() || reported.Load() > 0 || reported.PlacementVersion() != w.Placement().Version() {
		return
	}
	var status lagoon.ServerStatus
	status.SetServer(reported.Server())
	status.SetReleased(true)
	status.SetPlacementVersion(reported.PlacementVersion())
	row.SetReleasing(false)
	row.SetStatus(status)
	MarkStatusChanged(w, row)
	w.SetHeartbeatDue(true)
}

// MarkStatusChanged schedules a server's status to be sent to the other nodes.
func MarkStatusChanged(w *world.World, row *srvrs.Row) {
	w.SetStatusSeq(w.StatusSeq() + 1)
	row.SetStatusSeq(w.StatusSeq())
}

// SameStatus reports whether two statuses are the same to other nodes, apart from
// load and latency.
func SameStatus(a, b lagoon.ServerStatus) bool {
	return a.Up() == b.Up() && a.Draining() == b.Draining() && a.StartID() == b.StartID() &&
		a.Ejected() == b.Ejected() && a.Limit() == b.Limit() && slices.Equal(a.Snapshots(), b.Snapshots())
}
