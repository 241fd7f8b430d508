// Package beats exchanges heartbeats, which show which nodes are live and which
// of them watch the registry on behalf of the others.
//
// # Usage
//
//	systems = append(systems, beats.System{})
//
// A few nodes are hubs. Every node sends heartbeats to the hubs, and the hubs
// send heartbeats with the names of the live nodes to every node, so only a hub's
// traffic grows with the number of nodes. The hubs are the first live nodes in an
// order that every node computes alike. Nodes that disagree about who is live may
// elect different hubs for a while, which only costs extra messages.
package beats

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/grants"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/spread"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/warn"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/topics"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// Heartbeat intervals and timeouts.
const (
	HeartbeatInterval      = 500 * time.Millisecond  // between two heartbeats to a node
	startHeartbeatInterval = 50 * time.Millisecond   // while a node lacks the catalog, the list of servers or the orders
	NodeTimeout            = 2 * time.Second         // without a heartbeat before a node counts as failed; callers may be referred to a failed node for at most 7 s
	HubTimeout             = 1200 * time.Millisecond // without a heartbeat before a hub is not relied on; allows for two lost heartbeats
	cutOffAfter            = 1200 * time.Millisecond // without a registry response before another node becomes a hub; allows for one lost response and a retry
	pushWait               = 500 * time.Millisecond  // for an update that a heartbeat announced and that a hub has not pushed yet; the update is in force within 3 s all the same
	forgetTimeout          = 20 * time.Second        // without a heartbeat before a node no longer counts towards shares of the servers' limits
)

// maxOrdersWait is how long a starting node that has the catalog and the servers waits for the
// orders to roll out versions. Refusing all requests for longer would be worse than to use the
// versions that were announced first. Failed calls are repeated at least twice within it.
const maxOrdersWait = 2 * time.Second

// System exchanges heartbeats.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "beats" }

// Run processes received heartbeats, updates which nodes are live, elects the hubs
// and sends the heartbeats that are due.
func (System) Run(s *state.State, now time.Duration) {
	for _, m := range s.Heartbeats() {
		receive(s, m, now)
	}
	updateReady(s, now)
	hubs := LiveHubs(s, now)
	for i := range s.Peers().Len() {
		updateLive(s, s.Peers().At(i), hubs, now)
	}
	// Every message causes a tick, and sorting all nodes is expensive, so hubs are
	// elected at most once per TickInterval unless something changed.
	if s.ViewStale() || now-s.ElectedAt() >= state.TickInterval {
		s.SetElectedAt(now)
		elect(s, now)
		if n := shareDivisor(s, now); math.Abs(n-s.ShareDivisor()) > shareDivisorStep*s.ShareDivisor() {
			s.SetShareDivisor(n)
			s.SetViewStale(true)
		}
		if n := coldDivisor(s, now); math.Abs(n-s.ColdDivisor()) > shareDivisorStep*s.ColdDivisor() {
			s.SetColdDivisor(n)
			s.SetViewStale(true)
		}
	}
	if now-s.HeartbeatsSentAt() >= interval(s) {
		updateRequestRate(s, now-s.HeartbeatsSentAt())
		s.SetHeartbeatsSentAt(now)
		send(s, now)
	} else if s.HeartbeatsDue() || s.Ledger().Announcing() {
		send(s, now) // the rate is not updated, as it would jump with the few requests since the last heartbeat
	}
	s.SetHeartbeatsDue(false)
	s.Ledger().SetAnnouncing(false)
}

// interval returns the time between two heartbeats. A starting node sends them
// often, as the first one to a node only opens the connection.
func interval(s *state.State) time.Duration {
	if s.Ready() {
		return HeartbeatInterval
	}
	return startHeartbeatInterval
}

// updateReady updates whether this node has the catalog, the servers and, in a deployment with
// roll-outs, the orders. A node that was ready stays so, as it keeps what it has received.
func updateReady(s *state.State, now time.Duration) {
	if s.Ready() || !s.CatalogKnown() || !s.ServersKnown() {
		return
	}
	if s.ListsKnownAt() == 0 {
		s.SetListsKnownAt(now)
	}
	if topic, ok := s.Rollouts(); ok && !topic.Synced() {
		if now-s.ListsKnownAt() < maxOrdersWait {
			return
		}
		s.Record("rollouts_unknown", s.Self().Name(), fmt.Sprintf("the orders to roll out versions could not be read within %s; the node serves with the versions that were announced first", maxOrdersWait))
	}
	s.SetReady(true)
	s.SetViewStale(true)
}

// receive records the heartbeat of another node.
func receive(s *state.State, m *lagoon.Heartbeat, now time.Duration) {
	from := m.From()
	if from.Name() == s.Self().Name() {
		return
	}
	row := s.Peers().Ensure(from.Name())
	switch {
	case from.StartID() < row.Member().StartID() && heartbeatWithin(row, now, NodeTimeout):
		return // a delayed heartbeat of an earlier run
	case from.StartID() != row.Member().StartID():
		// Start IDs are wall-clock times and may step back between two runs. Two runs
		// of a node never send at the same time, so a run that has stopped sending is replaced.
		row.SetMember(from)
		row.SetKnownAt(now)
		row.SetPushedStartID(0)
	}
	row.SetHeartbeatAt(now)
	row.SetReady(m.Ready())
	row.SetStopping(m.Stopping())
	row.SetHub(m.Hub())
	row.SetRosterAcked(m.RosterAcked())
	row.SetCallsFailingFor(m.CallsFailingFor())
	if m.CallsFailingFor() > 0 {
		row.SetCallsFailedAt(now)
	}
	row.SetCutOffNodes(m.CutOffNodes())
	row.SetNeedsUpdate(m.NeedsUpdate())
	row.SetRequestRate(m.RequestRate())
	row.SetTotalRequestRate(m.TotalRequestRate())
	row.SetGranter(m.Granter())
	row.SetTrafficShare(m.TrafficShare())
	applyRoster(row, m, now)
	grants.Receive(s, m, now)
	if m.Hub() {
		applyHubState(s, m, now)
	}
}

// applyRoster applies a hub's list of live nodes, or the changes to it if the
// version that they are based on is held. It records when the list held was last current.
func applyRoster(row *peers.Row, m *lagoon.Heartbeat, now time.Duration) {
	switch {
	case !m.HasRoster():
		if m.RosterVersion() == row.RosterVersion() {
			row.SetRosterAt(now)
		}
		return
	case m.RosterBase() == 0:
		row.SetRoster(setOf(m.RosterAdded()))
	case m.RosterBase() != row.RosterVersion():
		return // the next heartbeat reports the held version to the hub
	default:
		for _, name := range m.RosterAdded() {
			row.Roster()[name] = true
		}
		for _, name := range m.RosterRemoved() {
			delete(row.Roster(), name)
		}
	}
	row.SetRosterVersion(m.RosterVersion())
	row.SetRosterAt(now)
}

// setOf returns the set of the names.
func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// applyHubState applies a hub's report on the registry: whether it responds, and the
// revision up to which the hub has received each topic. A topic that changed after
// the revision held here is marked to be read from the registry unless it is pushed soon.
func applyHubState(s *state.State, m *lagoon.Heartbeat, now time.Duration) {
	if m.CallsFailingFor() == 0 && !s.RegistryReachable() && !s.Hub() {
		s.SetRegistryReachable(true)
		s.SetViewStale(true)
		s.Record("registry_regained", "", "the registry answers hub "+m.From().Name())
	}
	for _, remote := range m.Topics() {
		row, ok := s.Topics().Find(remote.Topic().String())
		switch {
		case !ok || !row.Synced():
		case row.Revision() < remote.Changed():
			markGap(row, remote.Changed(), now)
		case epoch.Of(remote.Revision()) < epoch.Of(row.Revision()): // the hub does not know yet that the registry was restored
		case !row.Gap():
			row.SetRevision(max(row.Revision(), remote.Revision()))
			row.SetConfirmedAt(max(row.ConfirmedAt(), now-remote.Age()))
			row.SetUnconfirmedSince(0)
		}
	}
}

// markGap records that updates up to a revision are missing. The registry is called only
// after pushWait, as the push of an update to all nodes of a large fleet takes a hub
// longer than the heartbeats that announce the update.
func markGap(row *topics.Row, revision uint64, now time.Duration) {
	if !row.Gap() {
		row.SetRetryAt(max(row.RetryAt(), now+pushWait))
	}
	row.SetGap(true)
	row.SetGapRevision(max(row.GapRevision(), revision))
}

// updateLive updates whether a node counts as live: it sent a heartbeat within
// NodeTimeout, or a live hub lists it.
func updateLive(s *state.State, row *peers.Row, hubs []*peers.Row, now time.Duration) {
	live := heartbeatWithin(row, now, NodeTimeout) && row.Ready() && !row.Stopping()
	if !live && !row.Stopping() && !heartbeatWithin(row, now, NodeTimeout) {
		live = !s.Hub() && inRoster(hubs, row.Member().Name(), now) // a hub receives heartbeats from every live node
	}
	if live {
		row.SetLiveAt(now)
	}
	if live == row.Live() {
		return
	}
	row.SetLive(live)
	s.SetViewStale(true)
	s.Record("node_live", row.Member().Name(), fmt.Sprintf("live %t: last heartbeat at %s, now %s, ready %t, stopping %t", live, row.HeartbeatAt(), now, row.Ready(), row.Stopping()))
}

// heartbeatWithin reports whether a node sent a heartbeat within the timeout.
func heartbeatWithin(row *peers.Row, now, timeout time.Duration) bool {
	return row.HeartbeatAt() > 0 && now-row.HeartbeatAt() < timeout
}

// inRoster reports whether one of the hubs lists a node as live. A list that has not been
// current for NodeTimeout may name nodes that have failed since.
func inRoster(hubs []*peers.Row, name string, now time.Duration) bool {
	return slices.ContainsFunc(hubs, func(row *peers.Row) bool {
		return row.Roster()[name] && now-row.RosterAt() < NodeTimeout
	})
}

// LiveHubs returns the hubs that sent a heartbeat within NodeTimeout.
func LiveHubs(s *state.State, now time.Duration) []*peers.Row {
	var out []*peers.Row
	for i := range s.Peers().Len() {
		if row := s.Peers().At(i); row.Hub() && heartbeatWithin(row, now, NodeTimeout) {
			out = append(out, row)
		}
	}
	return out
}

// HasHub reports whether a hub that sent a heartbeat within HubTimeout watches the
// registry on behalf of this node.
func HasHub(s *state.State, now time.Duration) bool {
	for i := range s.Peers().Len() {
		if row := s.Peers().At(i); row.Hub() && !row.Stopping() && heartbeatWithin(row, now, HubTimeout) {
			return true
		}
	}
	return false
}

// mayBeRunning reports whether a node announced itself, sent a heartbeat or counted
// as live within forgetTimeout.
func mayBeRunning(row *peers.Row, now time.Duration) bool {
	last := lastSign(row)
	return last > 0 && now-last < forgetTimeout
}

// lastSign returns when a node last announced itself, sent a heartbeat or counted as live.
func lastSign(row *peers.Row) time.Duration {
	return max(row.KnownAt(), row.HeartbeatAt(), row.LiveAt())
}

// send sends heartbeats: a hub to every node, any other node to the hubs.
func send(s *state.State, now time.Duration) {
	heartbeat := &lagoon.Heartbeat{}
	heartbeat.SetFrom(s.Self())
	heartbeat.SetSent(now)
	heartbeat.SetStopping(s.Stopping())
	heartbeat.SetReady(s.Ready())
	heartbeat.SetHub(s.Hub())
	heartbeat.SetRequestRate(s.RequestRate())
	heartbeat.SetCallsFailingFor(callsFailingFor(s, now))
	heartbeat.SetNeedsUpdate(needsUpdate(s))
	heartbeat.SetGranter(s.Ledger().Granter())
	heartbeat.SetTrafficShare(s.Ledger().Share())
	heartbeat.SetRolloutReports(grants.Reports(s, HasHub(s, now) || s.Hub(), now))
	var live []string
	if s.Hub() {
		live = liveNames(s)
		heartbeat.SetCutOffNodes(cutOffNodes(s, now))
		heartbeat.SetTopics(topicStates(s, now))
		heartbeat.SetTotalRequestRate(totalRequestRate(s, now))
		s.Roster().RaiseVersion(s.Self().StartID())
		s.Roster().Replace(live)
		heartbeat.SetRosterVersion(s.Roster().Version())
	}
	hubs := preferredHubs(s, now)
	changed, all := spread.Collect(s, now)
	newCases, allCases := warn.Collect(s, now)
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if s.Hub() || row.Hub() || slices.Contains(hubs, row.Member().Name()) {
			heartbeat.SetLimits(spread.For(row, changed, all, now))
			heartbeat.SetCases(warn.For(row, newCases, allCases, now))
			s.Link().Send(row.Member().Addr(), heartbeatFor(s, row, *heartbeat, live, now)) // the next heartbeat makes up for a lost one
		}
	}
}

// heartbeatFor completes a heartbeat for one node: the version of that node's roster
// that this node holds, and, from a hub, the changes to its own roster since the
// version that the other node holds. A node that this hub does not hear is sent the whole
// roster, as its version is not known. live is the content of the roster.
func heartbeatFor(s *state.State, row *peers.Row, heartbeat lagoon.Heartbeat, live []string, now time.Duration) *lagoon.Heartbeat {
	heartbeat.SetRosterAcked(row.RosterVersion())
	if s.Hub() && now-row.AssignedAt() < NodeTimeout { // a node that is not heard keeps its share for a limited time only
		heartbeat.SetAssignedShare(row.AssignedShare())
	}
	heartbeat.SetRolloutGrants(grants.For(s, row.Member().Name(), now))
	heard := heartbeatWithin(row, now, NodeTimeout)
	if !s.Hub() || (heard && row.RosterAcked() == s.Roster().Version()) {
		return &heartbeat
	}
	heartbeat.SetHasRoster(true)
	added, removed, ok := s.Roster().ChangesSince(row.RosterAcked())
	ok = ok && heard
	if !ok {
		heartbeat.SetRosterAdded(live)
		return &heartbeat
	}
	heartbeat.SetRosterBase(row.RosterAcked())
	heartbeat.SetRosterAdded(added)
	heartbeat.SetRosterRemoved(removed)
	return &heartbeat
}

// topicStates returns the revision up to which this node has received each topic.
func topicStates(s *state.State, now time.Duration) []lagoon.TopicState {
	var out []lagoon.TopicState
	for i := range s.Topics().Len() {
		row := s.Topics().At(i)
		if !row.Synced() {
			continue
		}
		var topicState lagoon.TopicState
		topicState.SetTopic(row.Topic())
		topicState.SetAge(now - row.ConfirmedAt())
		topicState.SetRevision(row.Revision())
		topicState.SetChanged(row.LastChange())
		out = append(out, topicState)
	}
	return out
}

// liveNames returns the names of the live nodes, including this one if it accepts
// requests.
func liveNames(s *state.State) []string {
	var out []string
	if s.Ready() && !s.Stopping() {
		out = append(out, s.Self().Name())
	}
	for i := range s.Peers().Len() {
		if row := s.Peers().At(i); row.Live() {
			out = append(out, row.Member().Name())
		}
	}
	return out
}
