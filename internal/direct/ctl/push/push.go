// Package push tells the other nodes what a hub learnt from the registry.
//
// # Usage
//
//	systems = append(systems, push.System{})
//
// Heartbeats tell up to which revision a hub knows what, so that a node notices
// a feed that it missed. A node that has just started gets all that is known.
package push

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
)

// System tells news.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "push" }

// Run sends what was learnt in this tick, and all to the nodes that are new.
func (System) Run(b *board.Board, _ time.Duration) {
	if !b.Hub() {
		return
	}
	for _, n := range b.Spread() {
		m := feed(b, n)
		for i := range b.Nodes().Len() {
			b.Link().Send(b.Nodes().At(i).Member().Addr(), m) // one that is lost shows in the heartbeats
		}
	}
	for i := range b.Nodes().Len() {
		row := b.Nodes().At(i)
		if row.Heard() == 0 || row.Ready() || row.Told() >= row.Member().Start() || !b.Adopted() || !b.Listed() {
			continue
		}
		row.SetTold(row.Member().Start())
		for _, topic := range lagoon.Topics {
			b.Link().Send(row.Member().Addr(), feed(b, whole(b, topic))) // a node that misses one asks the registry
		}
	}
}

func feed(b *board.Board, n lagoon.News) *lagoon.Feed {
	m := &lagoon.Feed{}
	m.SetFrom(b.Self().Name())
	m.SetNews(n)
	return m
}

// whole returns all that is known of a topic.
func whole(b *board.Board, topic lagoon.Topic) lagoon.News {
	var n lagoon.News
	n.SetTopic(topic)
	n.SetFull(true)
	if row, ok := b.Feeds().Find(topic.String()); ok {
		n.SetRevision(row.Revision())
	}
	switch topic {
	case lagoon.TopicCatalog:
		n.SetCatalog(b.Catalog())
	case lagoon.TopicReplicas:
		var replicas []lagoon.Replica
		for i := range b.Servers().Len() {
			if row := b.Servers().At(i); row.GoneAt() == 0 {
				replicas = append(replicas, row.Replica())
			}
		}
		n.SetReplicas(replicas)
	case lagoon.TopicZones:
		n.SetZones(slices.Sorted(maps.Keys(b.ZonesOut())))
	case lagoon.TopicMembers:
		members := []lagoon.Member{b.Self()}
		for i := range b.Nodes().Len() {
			members = append(members, b.Nodes().At(i).Member())
		}
		n.SetMembers(members)
	}
	return n
}
