// Package beats sends heartbeats, and pushes configurations and placements to nodes
// that have older ones.
//
// # Usage
//
//	systems = append(systems, beats.System{})
//
// It reads servers and writes nodes. A heartbeat is sent to every known node each
// HeartbeatInterval, and immediately after a configuration or placement was
// adopted. It carries the statuses of this node's servers that changed since the
// previous one.
package beats

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/nodes"
	"github.com/lagoontrail/lagoon/internal/world"
)

// HeartbeatInterval is the time between two regular heartbeats.
const HeartbeatInterval = 400 * time.Millisecond

// pushRetryInterval is the time after which a push is repeated if the node still
// has the older version.
const pushRetryInterval = 500 * time.Millisecond

// earlyHeartbeatDelay is the time after a heartbeat at which changed server statuses
// may trigger the next one early.
const earlyHeartbeatDelay = 100 * time.Millisecond

// System sends heartbeats and pushes.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "beats" }

// Run sends the heartbeats and pushes that are due.
func (s System) Run(w *world.World, now time.Duration) {
	s.pushUpdates(w, now)
	due := w.HeartbeatsSentAt() == 0 || now-w.HeartbeatsSentAt() >= HeartbeatInterval
	if !due && !w.HeartbeatDue() && !(s.hasUnsentStatus(w) && now-w.HeartbeatsSentAt() >= earlyHeartbeatDelay) {
		return
	}
	w.SetHeartbeatsSentAt(now)
	w.SetHeartbeatDue(false)
	for i := range w.Nodes().Len() {
		s.sendHeartbeat(w, w.Nodes().At(i), now)
	}
	s.contactSeeds(w, now)
}

// hasUnsentStatus reports whether a status change has yet to be sent to some node.
func (System) hasUnsentStatus(w *world.World) bool {
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		if n.HeartbeatAt() > 0 && !n.Ended() && n.SentStatusSeq() < w.StatusSeq() {
			return true
		}
	}
	return false
}

func (s System) sendHeartbeat(w *world.World, n *nodes.Row, now time.Duration) {
	if n.Ended() || n.Member().Addr() == "" {
		return
	}
	b := s.newHeartbeat(w, now)
	b.SetEcho(n.HeartbeatSentAt())
	b.SetEchoStartID(n.Member().StartID())
	b.SetStatuses(s.statusesSince(w, n.SentStatusSeq()))
	if w.Link().Send(n.Member().Addr(), b) {
		n.SetSentStatusSeq(w.StatusSeq())
	} else {
		n.SetSentStatusSeq(0)
	}
}

func (System) newHeartbeat(w *world.World, now time.Duration) *lagoon.Heartbeat {
	b := &lagoon.Heartbeat{}
	b.SetFrom(w.Self())
	b.SetSent(now)
	b.SetPlacementVersion(w.Placement().Version())
	b.SetConfigRevision(w.Config().Revision())
	b.SetStopping(w.StoppingSince() > 0)
	b.SetReady(w.LeaseUntil() > now && w.StoppingSince() == 0)
	return b
}

// statusesSince returns the server statuses that changed after a sequence number.
// After a failed send that number is 0, so all are sent again.
func (System) statusesSince(w *world.World, after uint64) []lagoon.ServerStatus {
	var statuses []lagoon.ServerStatus
	for i := range w.Servers().Len() {
		row := w.Servers().At(i)
		if row.StatusSeq() > after && (row.Owned() || row.Status().Released()) {
			status := row.Status()
			if !status.Released() {
				status.SetPlacementVersion(w.Placement().Version())
				status.SetUp(status.Up() && row.SendAllowed())
			}
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// contactSeeds sends heartbeats to configured addresses at which no node is known yet.
func (s System) contactSeeds(w *world.World, now time.Duration) {
	for _, addr := range w.Seeds() {
		if addr != w.Self().Addr() && !s.knownAddr(w, addr) {
			w.Link().Send(addr, s.newHeartbeat(w, now))
		}
	}
}

func (System) knownAddr(w *world.World, addr string) bool {
	for i := range w.Nodes().Len() {
		if w.Nodes().At(i).Member().Addr() == addr {
			return true
		}
	}
	return false
}

// pushUpdates sends the configuration and the placement to nodes that reported
// older ones.
func (System) pushUpdates(w *world.World, now time.Duration) {
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		outdated := n.ConfigRevision() < w.Config().Revision() || n.PlacementVersion() < w.Placement().Version()
		newUpdate := n.PushedAt() < max(w.ConfigAt(), w.PlacementAt())
		if n.HeartbeatAt() == 0 || n.Ended() || !outdated || (!newUpdate && now-n.PushedAt() < pushRetryInterval) {
			continue
		}
		n.SetPushedAt(now)
		pushTo(w, n)
	}
}

func pushTo(w *world.World, n *nodes.Row) {
	addr := n.Member().Addr()
	if n.ConfigRevision() < w.Config().Revision() {
		m := &lagoon.ConfigPush{}
		m.SetConfig(w.Config())
		w.Link().Send(addr, m)
	}
	if n.PlacementVersion() < w.Placement().Version() {
		m := &lagoon.PlacementPush{}
		m.SetPlacement(w.Placement())
		w.Link().Send(addr, m)
	}
}
