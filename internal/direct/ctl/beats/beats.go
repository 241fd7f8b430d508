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
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
	"github.com/lagoontrail/lagoon/internal/direct/mates"
)

// Hubs is the number of hubs. When both fail at once, every node asks the
// registry by itself until others have taken over.
const Hubs = 2

// Times of heartbeats.
const (
	Interval      = 500 * time.Millisecond  // between two heartbeats to one node
	startInterval = 100 * time.Millisecond  // the same, of a node that knows nothing yet
	SilentAfter   = 2 * time.Second         // silence after which a node counts as failed; callers may be sent to one that died for 7 s at most
	HubAfter      = 1200 * time.Millisecond // silence after which a hub is not relied on: two lost heartbeats
	listEvery     = 2 * time.Second         // between two lists of live nodes without a change
	forgetAfter   = 20 * time.Second        // without a sign of life before a node no longer counts for shares
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
	if now-b.BeatAt() >= interval(b) {
		measure(b, now-b.BeatAt())
		b.SetBeatAt(now)
		if n := sharers(b, now); math.Abs(n-b.Sharers()) > sharersStep*b.Sharers() {
			b.SetSharers(n)
			b.SetTouched(true)
		}
		send(b, now)
	}
}

// interval returns the time between two heartbeats. A node that knows nothing yet
// sends them often, as the first to a node only opens the connection.
func interval(b *board.Board) time.Duration {
	if b.Adopted() && b.Listed() {
		return Interval
	}
	return startInterval
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
	}
	row.SetHeard(now)
	row.SetReady(m.Ready())
	row.SetLeaving(m.Leaving())
	row.SetHub(m.Hub())
	row.SetRate(m.Rate())
	row.SetTotal(m.Total())
	if m.Listing() {
		row.SetRoster(setOf(m.Live()))
	}
	if m.Hub() {
		confirm(b, m, now)
	}
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// confirm takes a hub's word for what it knows. Where this node knows less, it
// missed a feed and asks the registry.
func confirm(b *board.Board, m *lagoon.Beat, now time.Duration) {
	for _, mark := range m.Marks() {
		f, ok := b.Feeds().Find(mark.Topic().String())
		switch {
		case !ok || !f.Listed():
		case f.Revision() < mark.Changed():
			f.SetCheck(true)
		case !f.Check():
			f.SetRevision(max(f.Revision(), mark.Revision()))
			f.SetConfirmed(max(f.Confirmed(), now-mark.Age()))
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

// counts reports whether a node may be running.
func counts(row *mates.Row, now time.Duration) bool {
	last := max(row.Known(), row.Heard(), row.LiveAt())
	return last > 0 && now-last < forgetAfter
}

// elect decides whether this node is a hub.
func elect(b *board.Board, now time.Duration) {
	members, ok := b.Feeds().Find(lagoon.TopicMembers.String())
	if !ok || !members.Listed() {
		return // which nodes there are is not known yet
	}
	hub := !b.Stopping() && slices.Contains(first(b, now), b.Self().Name())
	if hub == b.Hub() {
		return
	}
	b.SetHub(hub)
	b.SetListing(true)
	b.Note("hub", b.Self().Name(), fmt.Sprintf("hub %t: whether this node follows the registry for the others", hub))
}

// first returns the first live nodes in an order that spreads them over the
// availability zones and puts those with the most cores first, as what a hub
// sends grows with the fleet. One that is known since a moment counts as live.
func first(b *board.Board, now time.Duration) []string {
	zones := map[string][]lagoon.Member{}
	if !b.Stopping() {
		zones[b.Self().Zone()] = []lagoon.Member{b.Self()}
	}
	for i := range b.Nodes().Len() {
		row := b.Nodes().At(i)
		starting := row.Heard() == 0 && now-row.Known() < SilentAfter
		if row.Live() || starting || (heard(row, now, SilentAfter) && !row.Leaving()) {
			zones[row.Member().Zone()] = append(zones[row.Member().Zone()], row.Member())
		}
	}
	type place struct {
		rank   int
		member lagoon.Member
	}
	var order []place
	for _, members := range zones {
		slices.SortFunc(members, func(x, y lagoon.Member) int {
			return cmp.Or(cmp.Compare(y.Cores(), x.Cores()), cmp.Compare(x.Name(), y.Name()))
		})
		for rank, m := range members {
			order = append(order, place{rank, m})
		}
	}
	slices.SortFunc(order, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.member.Zone(), y.member.Zone()))
	})
	var out []string
	for _, p := range order[:min(Hubs, len(order))] {
		out = append(out, p.member.Name())
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
	beat.SetRate(b.Rate())
	if b.Hub() {
		beat.SetMarks(marks(b, now))
		beat.SetTotal(total(b, now))
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

// sharersStep is the relative change of a node's share that makes a new view.
const sharersStep = 0.1

// rateWeight is the weight of the last interval in a node's rate of requests.
const rateWeight = 0.5

// measure updates this node's rate of requests over the time since the last
// heartbeat.
func measure(b *board.Board, since time.Duration) {
	if b.Asked() == nil || since <= 0 {
		return
	}
	asked := b.Asked().Load()
	last := float64(asked-b.Counted()) / since.Seconds()
	b.SetCounted(asked)
	b.SetRate(b.Rate() + rateWeight*(last-b.Rate()))
}

// total returns the requests a second that all nodes take, as a hub hears it.
func total(b *board.Board, now time.Duration) float64 {
	sum := b.Rate()
	for i := range b.Nodes().Len() {
		if row := b.Nodes().At(i); heard(row, now, forgetAfter) {
			sum += row.Rate()
		}
	}
	return sum
}

// sharers returns how many nodes would share the servers' common bounds if all
// took as many requests as this one; its share is the inverse. That is all nodes
// that may be running while no hub tells the total.
func sharers(b *board.Board, now time.Duration) float64 {
	told := 0.0
	if b.Hub() {
		told = total(b, now)
	}
	all := 1.0
	for i := range b.Nodes().Len() {
		row := b.Nodes().At(i)
		if row.Hub() && heard(row, now, forgetAfter) {
			told = max(told, row.Total())
		}
		if counts(row, now) {
			all++
		}
	}
	if told == 0 || b.Rate() == 0 {
		return all
	}
	return min(max(told/b.Rate(), 1), all)
}

// marks returns what this node knows of each topic.
func marks(b *board.Board, now time.Duration) []lagoon.FeedMark {
	var out []lagoon.FeedMark
	for i := range b.Feeds().Len() {
		f := b.Feeds().At(i)
		if !f.Listed() {
			continue
		}
		var m lagoon.FeedMark
		m.SetTopic(f.Topic())
		m.SetAge(now - f.Confirmed())
		m.SetRevision(f.Revision())
		m.SetChanged(f.Changed())
		out = append(out, m)
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
