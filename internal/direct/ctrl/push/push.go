// Package push sends registry updates from a hub to the other nodes.
//
// # Usage
//
//	systems = append(systems, push.System{})
//
// A hub's heartbeats carry the revision of each topic, so a node detects an update
// that it missed. A node that has just started is sent all topics in full.
package push

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// resendInterval is the time between two full pushes to a node that still needs an
// update. It spans two heartbeats, in which the node reports that.
const resendInterval = time.Second

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
		m := newPush(s, update)
		for i := range s.Peers().Len() {
			s.Link().Send(s.Peers().At(i).Member().Addr(), m) // heartbeats reveal a lost update
		}
	}
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if s.CatalogKnown() && s.ServersKnown() && needsFullState(row, now) && sendFullState(s, row) {
			row.SetPushedStartID(row.Member().StartID())
			row.SetPushedAt(now)
		}
	}
}

// needsFullState reports whether a node needs all topics: it has just started, or
// it missed an update and its registry calls fail.
func needsFullState(row *peers.Row, now time.Duration) bool {
	if row.HeartbeatAt() == 0 {
		return false
	}
	if row.NeedsUpdate() {
		return now-row.PushedAt() >= resendInterval
	}
	return !row.Ready() && row.PushedStartID() != row.Member().StartID()
}

// sendFullState sends a node all topics and reports whether they were sent. The
// first attempt for a node that has just started may only open the connection.
func sendFullState(s *state.State, row *peers.Row) bool {
	for _, topic := range lagoon.Topics {
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
		update.SetZones(slices.Sorted(maps.Keys(s.ZonesOut())))
	case lagoon.TopicMembers:
		members := []lagoon.Member{s.Self()}
		for i := range s.Peers().Len() {
			members = append(members, s.Peers().At(i).Member())
		}
		update.SetMembers(members)
	}
	return update
}
