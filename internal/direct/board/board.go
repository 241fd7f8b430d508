// Package board holds the control tables of a node that sends to servers
// itself, and the loop that runs the control systems over them.
//
// # Usage
//
//	b := board.New(box)
//	b.SetSelf(member)            // and the other collaborators
//	b.SetSystems(ctl.Systems())
//	err := b.Run(ctx)
//
// One goroutine owns the tables. A tick happens every Period and whenever a
// message arrives.
package board

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/mates"
	"github.com/lagoontrail/lagoon/internal/direct/seen"
	"github.com/lagoontrail/lagoon/internal/direct/sight"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/rows"
)

//go:generate go run ../../accgen -dir . -rows

// Period is the time between two ticks without messages. It bounds how late a
// server that is gone or a node that is silent leaves the view.
const Period = 100 * time.Millisecond

// Board owns the control tables of one node.
type Board struct {
	self      lagoon.Member               // this node
	clock     lagoon.Clock                // the clock
	link      lagoon.PeerLink             // sends messages to other nodes
	journal   lagoon.Journal              // keeps decisions
	current   *atomic.Pointer[sight.View] // where views are published
	systems   []lagoon.System[*Board]     // the systems, in the order they run
	catalog   lagoon.Catalog              // the declarations in use
	adopted   bool                        // whether the declarations are known
	listed    bool                        // whether the servers are known
	reachable bool                        // whether the registry answers
	zonesOut  map[string]bool             // the availability zones taken out
	stopping  bool                        // whether the node is stopping
	touched   bool                        // whether the next view differs
	beatAt    time.Duration               // when the last heartbeats were sent
	news      []lagoon.News               // what the registry told in this tick
	beats     []*lagoon.Beat              // the heartbeats that arrived in this tick

	box     *mbox.Box
	servers rows.Table[seen.Row]
	nodes   rows.Table[mates.Row]
}

// New returns a board that receives through box.
func New(box *mbox.Box) *Board { return &Board{box: box} }

// Servers returns the table of announced servers.
func (b *Board) Servers() *rows.Table[seen.Row] { return &b.servers }

// Nodes returns the table of other nodes.
func (b *Board) Nodes() *rows.Table[mates.Row] { return &b.nodes }

// Run ticks until ctx ends.
func (b *Board) Run(ctx context.Context) error {
	var items []any
	for ctx.Err() == nil {
		items = b.box.Wait(ctx, Period, items[:0])
		b.Tick(items)
	}
	return ctx.Err()
}

// Tick takes the messages in and runs the systems once.
func (b *Board) Tick(items []any) {
	for _, m := range items {
		switch m := m.(type) {
		case lagoon.News:
			b.news = append(b.news, m)
		case *lagoon.Beat:
			b.beats = append(b.beats, m)
		case func(*Board):
			m(b)
		}
	}
	now := b.clock.Now()
	for _, s := range b.systems {
		s.Run(b, now)
	}
	b.news, b.beats = nil, nil
}

// Note writes a change of belief to the journal.
func (b *Board) Note(kind, subject, reason string) {
	if b.journal == nil {
		return
	}
	var d lagoon.Decision
	d.SetAt(b.clock.Wall())
	d.SetNode(b.self.Name())
	d.SetKind(kind)
	d.SetSubject(subject)
	d.SetReason(reason)
	b.journal.Note(d)
}
