// Package push tells the other nodes what a hub learnt from the registry.
//
// # Usage
//
//	systems = append(systems, push.System{})
//
// Feeds are numbered, and heartbeats tell the number, so that a node notices
// one that it missed.
package push

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
)

// System tells news.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "push" }

// Run sends what was learnt in this tick.
func (System) Run(b *board.Board, _ time.Duration) {
	if !b.Hub() {
		return
	}
	for _, n := range b.Spread() {
		b.SetSent(b.Sent() + 1)
		m := &lagoon.Feed{}
		m.SetFrom(b.Self().Name())
		m.SetStart(b.Self().Start())
		m.SetFeeds(b.Sent())
		m.SetNews(n)
		for i := range b.Nodes().Len() {
			b.Link().Send(b.Nodes().At(i).Member().Addr(), m) // one that is lost shows in the heartbeats' number
		}
	}
}
