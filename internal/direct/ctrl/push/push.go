// Package push sends registry updates from a hub to the other nodes.
//
// # Usage
//
//	systems = append(systems, push.System{})
//
// A hub's heartbeats carry the revision of each topic, so a node detects an update
// that it missed. A node that has just started is sent all topics in full, by one of the
// hubs, as these are the largest messages.
package push

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// resendInterval is the time between two full pushes to a node that still needs an
// update. It spans two heartbeats, in which the node reports that.
const resendInterval = time.Second

// backupDelay is how long after a node has started another hub waits before it sends the
// node all topics as well. It spans the heartbeat by which the node reports that it has
// them, and is shorter than the time for which the node waits for a hub.
const backupDelay = 800 * time.Millisecond

// System pushes updates.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "push" }

// Run pushes the updates read in this tick to every node, and all topics in full to
// the nodes that need them.
func (System) Run(s *state.State, now time.Duration) {
	if !s.Hub() {
		return
	}
	for _, update := range s.Updates() {
		if update.Full() && update.Topic() != lagoon.TopicMembers { // each node looks for itself in these
			update = fullState(s, update.Topic()) // without what the registry has of before it was restored
		}
		m := newPush(s, update)
		for i := range s.Peers().Len() {
			s.Link().Send(s.Peers().At(i).Member().Addr(), m) // heartbeats reveal a lost update
		}
	}
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if s.CatalogKnown() && s.ServersKnown() && needsFullState(s, row, now) && sendFullState(s, row) {
			row.SetPushedStartID(row.Member().StartID())
			row.SetPushedAt(now)
		}
	}
}

// needsFullState reports whether this hub is to send a node all topics: the node has just
// started, or it missed an update and its registry calls fail.
func needsFullState(s *state.State, row *peers.Row, now time.Duration) bool {
	switch {
	case row.HeartbeatAt() == 0:
		return false
	case row.NeedsUpdate():
		return now-row.PushedAt() >= resendInterval
	case row.Ready() || row.PushedStartID() == row.Member().StartID():
		return false
	}
	return now-row.KnownAt() >= backupDelay || isFirstHub(s, row.Member(), now)
}

// isFirstHub reports whether this hub is the one that serves a starting node: the first
// by name of the live hubs in the node's availability zone, or of all live hubs.
func isFirstHub(s *state.State, m lagoon.Member, now time.Duration) bool {
	first := s.Self()
	for _, row := range beats.LiveHubs(s, now) {
		hub := row.Member()
		near, nearFirst := hub.Zone() == m.Zone(), first.Zone() == m.Zone()
		if (near && !nearFirst) || (near == nearFirst && hub.Name() < first.Name()) {
			first = hub
		}
	}
	self := s.Self()
	return first.Name() == self.Name()
}

// sendFullState sends a node all topics and reports whether they were sent. The
// first attempt for a node that has just started may only open the connection.
func sendFullState(s *state.State, row *peers.Row) bool {
	for i := range s.Topics().Len() {
		topic := s.Topics().At(i).Topic()
		if topic == lagoon.TopicRollouts && !s.Topics().At(i).Synced() {
			continue // an empty list would end the orders that the node has
		}
		if !s.Link().Send(row.Member().Addr(), newPush(s, fullState(s, topic))) {
			return false
		}
	}
	return true
}

// newPush returns a message that carries an update.
func newPush(s *state.State, update lagoon.RegistryUpdate) *lagoon.RegistryPush {
	m := &lagoon.RegistryPush{}
	m.SetFrom(s.Self().Name())
	m.SetUpdate(update)
	return m
}

// fullState returns the known state of a topic as an update.
func fullState(s *state.State, topic lagoon.Topic) lagoon.RegistryUpdate {
	var update lagoon.RegistryUpdate
	update.SetTopic(topic)
	update.SetFull(true)
	if row, ok := s.Topics().Find(topic.String()); ok {
		update.SetRevision(row.Revision())
	}
	switch topic {
	case lagoon.TopicCatalog:
		update.SetCatalog(s.Catalog())
	case lagoon.TopicReplicas:
		var replicas []lagoon.Replica
		for i := range s.Servers().Len() {
			if row := s.Servers().At(i); row.UnannouncedAt() == 0 {
				replicas = append(replicas, row.Replica())
			}
		}
		update.SetReplicas(replicas)
	case lagoon.TopicZones:
		zones := maps.Clone(s.ZonesOut())
		for zone := range s.ZonesKept() {
			delete(zones, zone) // each node keeps what it knows itself
		}
		update.SetZones(slices.Sorted(maps.Keys(zones)))
	case lagoon.TopicMembers:
		members := []lagoon.Member{s.Self()}
		for i := range s.Peers().Len() {
			members = append(members, s.Peers().At(i).Member())
		}
		update.SetMembers(members)
	case lagoon.TopicRollouts:
		var rollouts []lagoon.Rollout
		for i := range s.Orders().Len() {
			row := s.Orders().At(i)
			if order := row.Order(); row.WithdrawnUntil() == 0 && order.TargetVersion() != "" {
				rollouts = append(rollouts, order)
			}
		}
		update.SetRollouts(rollouts)
	}
	return update
}
