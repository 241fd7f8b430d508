package beats

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// HubCount is the number of hubs. If both fail together, every node reads the
// registry itself until other nodes have become hubs.
const HubCount = 2

// maxCutOff is the number of nodes with failing registry calls at which the
// registry counts as down for all; then no further nodes become hubs.
const maxCutOff = 3 * HubCount

// elect decides whether this node is a hub.
func elect(s *state.State, now time.Duration) {
	members, ok := s.Topics().Find(lagoon.TopicMembers.String())
	if !ok || !members.Synced() {
		return // the other nodes have not been read yet
	}
	hub := !s.Stopping() && slices.Contains(preferredHubs(s, now), s.Self().Name())
	if hub == s.Hub() {
		return
	}
	s.SetHub(hub)
	s.Record("hub", s.Self().Name(), fmt.Sprintf("hub %t: whether this node watches the registry on behalf of the others", hub))
}

// IsFirstHub reports whether this node is the first hub in the common order that has sent a
// heartbeat within HubTimeout.
func IsFirstHub(s *state.State, now time.Duration) bool {
	if !s.Hub() {
		return false
	}
	for _, name := range preferredHubs(s, now) {
		if name == s.Self().Name() {
			return true
		}
		if row, ok := s.Peers().Find(name); ok && row.Hub() && !row.Stopping() && heartbeatWithin(row, now, HubTimeout) {
			return false
		}
	}
	return false
}

// HearsMost reports whether this node hears more than half of the nodes that announced
// themselves or were live within isolationTimeout. The nodes of a part that is cut off count the
// others for that time, so that only one part decides. Stopping nodes do not count, as they leave
// in an orderly way.
func HearsMost(s *state.State, now time.Duration) bool {
	running, heard := 1, 1
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		leaving := row.Stopping() && row.KnownAt() <= row.HeartbeatAt() // and no later run was announced
		if last := max(row.KnownAt(), row.HeartbeatAt(), row.LiveAt()); last == 0 || now-last >= isolationTimeout || leaving {
			continue
		}
		running++
		if heartbeatWithin(row, now, NodeTimeout) {
			heard++
		}
	}
	return 2*heard > running
}

// MayBeRunning reports whether a node announced itself, sent a heartbeat or counted as live so
// recently that it may be running.
func MayBeRunning(row *peers.Row, now time.Duration) bool { return mayBeRunning(row, now) }

// preferredHubs returns the first live nodes in an order that spreads them over
// the availability zones and puts those with the most cores first, as a hub's
// traffic grows with the number of nodes. A node that is not ready yet is included if
// it sends heartbeats, or if it became known within NodeTimeout and has sent none so
// far. Nodes whose registry calls fail come last, unless that is true of maxCutOff
// nodes or of all.
func preferredHubs(s *state.State, now time.Duration) []string {
	zones := map[string][]lagoon.Member{}
	if !s.Stopping() {
		zones[s.Self().Zone()] = []lagoon.Member{s.Self()}
	}
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		starting := row.HeartbeatAt() == 0 && now-row.KnownAt() < NodeTimeout
		if row.Live() || starting || (heartbeatWithin(row, now, NodeTimeout) && !row.Stopping()) {
			zones[row.Member().Zone()] = append(zones[row.Member().Zone()], row.Member())
		}
	}
	type candidate struct {
		rank   int // the position among the nodes of its zone
		member lagoon.Member
	}
	var order []candidate
	for _, members := range zones {
		slices.SortFunc(members, func(x, y lagoon.Member) int {
			return cmp.Or(cmp.Compare(y.Cores(), x.Cores()), cmp.Compare(x.Name(), y.Name()))
		})
		for rank, m := range members {
			order = append(order, candidate{rank, m})
		}
	}
	slices.SortFunc(order, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.member.Zone(), y.member.Zone()))
	})
	var out, cutOff []string
	hubs := LiveHubs(s, now)
	for _, c := range order {
		if isCutOff(s, hubs, c.member.Name(), now) {
			cutOff = append(cutOff, c.member.Name())
		} else {
			out = append(out, c.member.Name())
		}
	}
	if len(cutOff) >= min(maxCutOff, len(order)) {
		out = nil
		for _, c := range order {
			out = append(out, c.member.Name())
		}
	}
	out = append(out, cutOff...)
	return out[:min(HubCount, len(out))]
}

// isCutOff reports whether a node's registry calls have failed for cutOffAfter,
// according to its heartbeats or those of a hub.
func isCutOff(s *state.State, hubs []*peers.Row, name string, now time.Duration) bool {
	if name == s.Self().Name() {
		return CutOff(s, now)
	}
	if row, ok := s.Peers().Find(name); ok && heartbeatWithin(row, now, NodeTimeout) {
		return row.CallsFailingFor() >= cutOffAfter
	}
	return slices.ContainsFunc(hubs, func(row *peers.Row) bool { return slices.Contains(row.CutOffNodes(), name) })
}

// cutOffNodes returns the nodes whose registry calls have failed for cutOffAfter,
// according to their heartbeats, at most 2*maxCutOff of them. This node may be one.
func cutOffNodes(s *state.State, now time.Duration) []string {
	var out []string
	if CutOff(s, now) {
		out = append(out, s.Self().Name())
	}
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if len(out) < 2*maxCutOff && heartbeatWithin(row, now, NodeTimeout) && row.CallsFailingFor() >= cutOffAfter {
			out = append(out, row.Member().Name())
		}
	}
	return out
}

// needsUpdate reports whether this node missed an update and its registry calls
// fail, or lacks only the orders to roll out versions, so that a hub has to send it all topics.
// The orders alone are asked for until the node is ready or while its calls fail, because the
// hubs may lack them as well.
func needsUpdate(s *state.State) bool {
	if topic, ok := s.Rollouts(); ok && !topic.Synced() && s.ListsKnownAt() > 0 && (!s.Ready() || s.CallsFailingSince() > 0) {
		return true
	}
	if s.CallsFailingSince() == 0 {
		return false
	}
	for i := range s.Topics().Len() {
		if row := s.Topics().At(i); row.Gap() && row.Synced() {
			return true
		}
	}
	return false
}

// CutOff reports whether this node's registry calls have failed for so long that
// another node should become a hub.
func CutOff(s *state.State, now time.Duration) bool { return callsFailingFor(s, now) >= cutOffAfter }

// HubsTurnedAway reports whether a registry call of this node succeeded although those of every live
// hub were failing: the registry is not down, but turns the hubs away.
func HubsTurnedAway(s *state.State, now time.Duration) bool {
	hubs := LiveHubs(s, now)
	return len(hubs) > 0 && !slices.ContainsFunc(hubs, func(row *peers.Row) bool {
		return row.CallsFailingFor() == 0 || s.CallSucceededAt() <= row.HeartbeatAt()-row.CallsFailingFor()
	})
}

// callsFailingFor returns for how long this node's registry calls have failed.
func callsFailingFor(s *state.State, now time.Duration) time.Duration {
	if s.CallsFailingSince() == 0 {
		return 0
	}
	return max(now-s.CallsFailingSince(), 1)
}
