// Package beats exchanges heartbeats with the other nodes, so that callers are
// sent to live nodes only and each node knows how many share the servers.
//
// # Usage
//
//	systems = append(systems, beats.System{})
package beats

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
)

// Interval is the time between two heartbeats to one node.
const Interval = time.Second

// SilentAfter is the silence after which a node counts as failed: two lost
// heartbeats and a half, well under the 7 s in which callers may still be sent
// to a node that died.
const SilentAfter = 2500 * time.Millisecond

// System exchanges heartbeats.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "beats" }

// Run takes heartbeats in, sends those that are due and notices silence.
func (System) Run(b *board.Board, now time.Duration) {
	for _, m := range b.Beats() {
		receive(b, m, now)
	}
	if now-b.BeatAt() >= Interval {
		b.SetBeatAt(now)
		send(b, now)
	}
	for i := range b.Nodes().Len() {
		row := b.Nodes().At(i)
		live := Live(row.Heard(), now) && row.Ready() && !row.Leaving()
		if live == row.Live() {
			continue
		}
		row.SetLive(live)
		b.SetTouched(true)
		b.Note("node_live", row.Member().Name(), fmt.Sprintf("live %t: last heartbeat %s ago, ready %t, leaving %t", live, now-row.Heard(), row.Ready(), row.Leaving()))
	}
}

// Live reports whether a node that was last heard at a time counts as running.
func Live(heard, now time.Duration) bool { return heard > 0 && now-heard < SilentAfter }

func receive(b *board.Board, m *lagoon.Beat, now time.Duration) {
	from := m.From()
	if from.Name() == b.Self().Name() {
		return
	}
	row := b.Nodes().Ensure(from.Name())
	if from.Start() < row.Member().Start() {
		return
	}
	row.SetMember(from)
	row.SetHeard(now)
	row.SetReady(m.Ready())
	row.SetLeaving(m.Leaving())
	row.SetConfig(m.Config())
}

func send(b *board.Board, now time.Duration) {
	for i := range b.Nodes().Len() {
		beat := &lagoon.Beat{}
		beat.SetFrom(b.Self())
		beat.SetSent(now)
		beat.SetConfig(b.Catalog().Revision())
		beat.SetLeaving(b.Stopping())
		beat.SetReady(b.Adopted() && b.Listed())
		b.Link().Send(b.Nodes().At(i).Member().Addr(), beat) // a lost heartbeat is made up for by the next
	}
}
