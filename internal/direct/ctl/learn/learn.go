// Package learn takes what the registry tells into control's tables.
//
// # Usage
//
//	systems = append(systems, learn.System{})
//
// Every change of belief is noted with the revision that it rests on.
package learn

import (
	"fmt"
	"strings"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
)

// System takes the news in.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "learn" }

// Run takes the news of this tick in.
func (System) Run(b *board.Board, now time.Duration) {
	for _, n := range b.News() {
		switch n.Topic() {
		case lagoon.TopicCatalog:
			adopt(b, n.Catalog())
		case lagoon.TopicReplicas:
			takeReplicas(b, n, now)
		case lagoon.TopicZones:
			takeZones(b, n)
		case lagoon.TopicMembers:
			takeMembers(b, n)
		case lagoon.TopicLost:
			reach(b, false, "registry_lost", n.Detail())
		case lagoon.TopicRegained:
			reach(b, true, "registry_regained", "it answers again")
		}
	}
}

// adopt replaces the catalog by a newer one.
func adopt(b *board.Board, c lagoon.Catalog) {
	if b.Adopted() && c.Revision() <= b.Catalog().Revision() {
		return
	}
	b.SetCatalog(c)
	b.SetAdopted(true)
	b.SetTouched(true)
	b.Note("catalog_adopted", fmt.Sprint("version ", c.Version()), fmt.Sprintf("revision %d with %d routes and %d services", c.Revision(), len(c.Routes()), len(c.Pools())))
}

func takeReplicas(b *board.Board, n lagoon.News, now time.Duration) {
	listed := map[string]bool{}
	for _, r := range n.Replicas() {
		listed[r.ID()] = true
		takeReplica(b, r, now)
	}
	if n.Full() {
		for i := range b.Servers().Len() {
			if id := b.Servers().Key(i); !listed[id] {
				lose(b, id, now)
			}
		}
		b.SetListed(true)
		b.SetTouched(true)
	}
	for _, id := range n.Removed() {
		lose(b, id, now)
	}
}

// takeReplica takes one announcement in.
func takeReplica(b *board.Board, r lagoon.Replica, now time.Duration) {
	row := b.Servers().Ensure(r.ID())
	old := row.Replica()
	if r.Revision() < old.Revision() {
		return
	}
	row.SetReplica(r)
	row.SetHeard(now)
	back := row.GoneAt() > 0
	row.SetGoneAt(0)
	switch {
	case !r.Leaving() || old.Born() != r.Born():
		row.SetLeavingAt(0)
	case row.LeavingAt() == 0:
		row.SetLeavingAt(now)
	}
	if r.Leaving() && row.LeavingAt() == 0 {
		row.SetLeavingAt(now)
	}
	b.SetTouched(true)
	if back || old.ID() == "" || old.Leaving() != r.Leaving() || old.Born() != r.Born() || (old.Cold() == 0) != (r.Cold() == 0) {
		b.Note("server_announced", r.ID(), fmt.Sprintf("%s at %s in %s, leaving %t, cold for %s, revision %d", r.Service(), r.Addr(), r.Zone(), r.Leaving(), r.Cold(), r.Revision()))
	}
}

// lose marks a server whose announcement is gone.
func lose(b *board.Board, id string, now time.Duration) {
	row, ok := b.Servers().Find(id)
	if !ok || row.GoneAt() > 0 {
		return
	}
	row.SetGoneAt(now)
	b.SetTouched(true)
	b.Note("server_unannounced", id, "its announcement is gone; it is a last resort until it returns or is dropped")
}

func takeZones(b *board.Board, n lagoon.News) {
	out := map[string]bool{}
	for _, z := range n.Zones() {
		out[z] = true
	}
	b.SetZonesOut(out)
	b.SetTouched(true)
	b.Note("zones_out", strings.Join(n.Zones(), ","), "the availability zones that operators have taken out now")
}

func takeMembers(b *board.Board, n lagoon.News) {
	for _, m := range n.Members() {
		if m.Name() == b.Self().Name() {
			continue
		}
		row := b.Nodes().Ensure(m.Name())
		if m.Start() >= row.Member().Start() {
			row.SetMember(m)
		}
	}
	for _, name := range n.Removed() {
		b.Nodes().Drop(name)
	}
	b.SetTouched(true)
}

// reach notes that the registry stopped or began to answer.
func reach(b *board.Board, up bool, kind, reason string) {
	if b.Reachable() == up {
		return
	}
	b.SetReachable(up)
	b.SetTouched(true)
	b.Note(kind, "registry", reason)
}
