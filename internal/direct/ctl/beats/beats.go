// Package beats exchanges heartbeats, which tell which nodes are live and who
// follows the registry for the others.
//
// # Usage
//
//	systems = append(systems, beats.System{})
//
// A few nodes are hubs. Every node sends heartbeats to the hubs, and the hubs
// send theirs to every node, with the names of the live nodes; so what a node
// sends does not grow with the fleet unless it is a hub. The hubs are the first
// live nodes in an order that all nodes compute alike; two nodes that believe
// different ones live may both be hubs for a while, which costs messages only.
package beats

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
	"github.com/lagoontrail/lagoon/internal/direct/mates"
)

// Hubs is the number of hubs: one may fail while another is being stopped, and
// a third still follows the registry.
const Hubs = 3

// Times of heartbeats.
const (
	Interval    = 500 * time.Millisecond  // between two heartbeats to one node
	SilentAfter = 2 * time.Second         // silence after which a node counts as failed; callers may be sent to one that died for 7 s at most
	HubAfter    = 1200 * time.Millisecond // silence after which a hub is not relied on: two lost heartbeats
	listEvery   = 2 * time.Second         // between two lists of live nodes without a change
	forgetAfter = 20 * time.Second        // without a sign of life before a node no longer counts for shares
)

// System exchanges heartbeats.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "beats" }

// Run takes heartbeats in, judges the nodes and sends what is due.
func (System) Run(b *board.Board, now time.Duration) {
	for _, m := range b.Beats() {
		receive(b, m, now)
	}
	for i := range b.Nodes().Len() {
		judge(b, b.Nodes().At(i), now)
	}
	elect(b, now)
	if now-b.BeatAt() >= Interval {
		b.SetBeatAt(now)
		send(b, now)
	}
}

func receive(b *board.Board, m *lagoon.Beat, now time.Duration) {
	from := m.From()
	if from.Name() == b.Self().Name() {
		return
	}
	row := b.Nodes().Ensure(from.Name())
	switch {
	case from.Start() < row.Member().Start():
		return
	case from.Start() > row.Member().Start():
		row.SetMember(from)
		row.SetKnown(now)
		row.SetFeeds(0)
	}
	row.SetHeard(now)
	row.SetReady(m.Ready())
	row.SetLeaving(m.Leaving())
	row.SetHub(m.Hub())
	if m.Listing() {
		row.SetRoster(setOf(m.Live()))
	}
	if m.Hub() {
		confirm(b, row, m, now)
	}
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// confirm takes a hub's word for how old the knowledge of each topic is. If a
// feed of it was missed, its word says nothing of what this node knows, and the
// registry is asked.
func confirm(b *board.Board, row *mates.Row, m *lagoon.Beat, now time.Duration) {
	missed := row.Feeds() != m.Feeds()
	row.SetFeeds(m.Feeds())
	for _, a := range m.Ages() {
		f, ok := b.Feeds().Find(a.Topic().String())
		switch {
		case !ok:
		case missed:
			f.SetCheck(true)
		case !f.Check():
			f.SetConfirmed(max(f.Confirmed(), now-a.Age()))
		}
	}
}

// judge decides whether a node counts as live: it was heard, or a hub that was
// heard names it.
func judge(b *board.Board, row *mates.Row, now time.Duration) {
	live := heard(row, now, SilentAfter) && row.Ready() && !row.Leaving()
	if !live && !row.Leaving() && !heard(row, now, SilentAfter) {
		live = named(b, row.Member().Name(), now)
	}
	if live {
		row.SetLiveAt(now)
	}
	if live == row.Live() {
		return
	}
	row.SetLive(live)
	b.SetTouched(true)
	b.SetListing(true)
	b.Note("node_live", row.Member().Name(), fmt.Sprintf("live %t: last heartbeat at %s of %s, ready %t, leaving %t", live, row.Heard(), now, row.Ready(), row.Leaving()))
}

func heard(row *mates.Row, now, within time.Duration) bool {
	return row.Heard() > 0 && now-row.Heard() < within
}

// named reports whether a hub that was heard names a node as live.
func named(b *board.Board, name string, now time.Duration) bool {
	if b.Hub() {
		return false // a hub hears every live node itself
	}
	for i := range b.Nodes().Len() {
		if row := b.Nodes().At(i); row.Hub() && heard(row, now, SilentAfter) && row.Roster()[name] {
			return true
		}
	}
	return false
}

// Following returns whether a hub that was heard lately follows the registry
// for this node.
func Following(b *board.Board, now time.Duration) bool {
	for i := range b.Nodes().Len() {
		if row := b.Nodes().At(i); row.Hub() && !row.Leaving() && heard(row, now, HubAfter) {
			return true
		}
	}
	return false
}

// Counts reports whether a node counts for the shares of common bounds.
func Counts(row *mates.Row, now time.Duration) bool {
	last := max(row.Known(), row.Heard(), row.LiveAt())
	return last > 0 && now-last < forgetAfter
}

// elect decides whether this node is a hub.
func elect(b *board.Board, now time.Duration) {
	hub := !b.Stopping() && slices.Contains(first(b, now), b.Self().Name())
	if hub == b.Hub() {
		return
	}
	b.SetHub(hub)
	b.SetListing(true)
	b.Note("hub", b.Self().Name(), fmt.Sprintf("hub %t: whether this node follows the registry for the others", hub))
}

// first returns the first live nodes in an order that spreads them over the
// availability zones. One that is known since a moment counts as live.
func first(b *board.Board, now time.Duration) []string {
	zones := map[string][]string{}
	if !b.Stopping() {
		zones[b.Self().Zone()] = []string{b.Self().Name()}
	}
	for i := range b.Nodes().Len() {
		row := b.Nodes().At(i)
		starting := row.Heard() == 0 && now-row.Known() < SilentAfter
		if row.Live() || starting || (heard(row, now, SilentAfter) && !row.Leaving()) {
			zones[row.Member().Zone()] = append(zones[row.Member().Zone()], row.Member().Name())
		}
	}
	type place struct {
		rank       int
		zone, name string
	}
	var order []place
	for zone, names := range zones {
		slices.Sort(names)
		for rank, name := range names {
			order = append(order, place{rank, zone, name})
		}
	}
	slices.SortFunc(order, func(x, y place) int {
		if x.rank != y.rank {
			return x.rank - y.rank
		}
		return strings.Compare(x.zone, y.zone)
	})
	var out []string
	for _, p := range order[:min(Hubs, len(order))] {
		out = append(out, p.name)
	}
	return out
}

// send sends heartbeats: a hub to all nodes, any other to the hubs.
func send(b *board.Board, now time.Duration) {
	beat := &lagoon.Beat{}
	beat.SetFrom(b.Self())
	beat.SetSent(now)
	beat.SetLeaving(b.Stopping())
	beat.SetReady(b.Adopted() && b.Listed())
	beat.SetHub(b.Hub())
	beat.SetFeeds(b.Sent())
	if b.Hub() {
		beat.SetAges(ages(b, now))
		if b.Listing() || now-b.RosterAt() >= listEvery {
			b.SetListing(false)
			b.SetRosterAt(now)
			beat.SetListing(true)
			beat.SetLive(live(b))
		}
	}
	hubs := first(b, now)
	for i := range b.Nodes().Len() {
		row := b.Nodes().At(i)
		if b.Hub() || row.Hub() || slices.Contains(hubs, row.Member().Name()) {
			b.Link().Send(row.Member().Addr(), beat) // a lost heartbeat is made up for by the next
		}
	}
}

// ages returns how old the knowledge of each topic is.
func ages(b *board.Board, now time.Duration) []lagoon.FeedAge {
	var out []lagoon.FeedAge
	for i := range b.Feeds().Len() {
		f := b.Feeds().At(i)
		if !f.Listed() {
			continue
		}
		var a lagoon.FeedAge
		a.SetTopic(f.Topic())
		a.SetAge(now - f.Confirmed())
		out = append(out, a)
	}
	return out
}

func live(b *board.Board) []string {
	var out []string
	if b.Adopted() && b.Listed() && !b.Stopping() {
		out = append(out, b.Self().Name())
	}
	for i := range b.Nodes().Len() {
		if row := b.Nodes().At(i); row.Live() {
			out = append(out, row.Member().Name())
		}
	}
	return out
}
