// Package pull asks the registry for what changed.
//
// # Usage
//
//	systems = append(systems, pull.System{})
//
// A hub watches all the time. Another node asks only at its start, when it
// missed a feed, when no hub was heard lately, or when the hubs' knowledge has
// become old, since calls to the registry are priced and its rate is shared.
package pull

import (
	"context"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/feeds"
)

// Times of calls. A registry that has lost its history may leave a watch waiting
// without a word, so a watch is short where a change is due soon.
const (
	oldAfter = 3000 * time.Millisecond // the age at which a node asks by itself: a watch, its time-out and a heartbeat
	batch    = 350 * time.Millisecond  // between two watches of a topic that changes in bursts; a leaving server serves on for 3 s
)

// waits says how long a hub's watch of a topic waits.
var waits = [...]time.Duration{
	lagoon.TopicCatalog:  2 * time.Second,         // a change of the configuration is due 3 s after it was accepted
	lagoon.TopicReplicas: 2 * time.Second,         // a leaving server gets nothing 3 s after it said so
	lagoon.TopicZones:    2500 * time.Millisecond, // a zone that is taken out gets nothing after 5 s
	lagoon.TopicMembers:  10 * time.Second,        // heartbeats tell the same sooner
}

// System asks the registry.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "pull" }

// Run starts the calls that are due.
func (System) Run(b *board.Board, now time.Duration) {
	following := beats.Following(b, now)
	for i := range b.Feeds().Len() {
		row := b.Feeds().At(i)
		if row.Calling() || now < row.RetryAt() {
			continue
		}
		old := now-row.Confirmed() >= oldAfter+waits[row.Topic()]-waits[lagoon.TopicCatalog]
		if row.Listed() && following && !b.Hub() && !row.Check() && !old {
			continue
		}
		call(b, row, following)
	}
}

func call(b *board.Board, row *feeds.Row, following bool) {
	row.SetCalling(true)
	topic, after := row.Topic(), row.Revision()
	if !row.Listed() {
		b.Call(topic, func(ctx context.Context) (lagoon.News, error) { return b.Registry().Read(ctx, topic) })
		return
	}
	wait := waits[topic]
	if row.Check() || (following && !b.Hub()) {
		wait = 0
	}
	pause := time.Duration(0)
	if topic != lagoon.TopicCatalog && wait > 0 {
		pause = batch
	}
	b.Call(topic, func(ctx context.Context) (lagoon.News, error) {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		return b.Registry().Watch(ctx, topic, after, wait)
	})
}
