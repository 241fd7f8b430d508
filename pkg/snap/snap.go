// Package snap chooses the snapshot that one query is answered from.
//
// # Usage
//
//	var c snap.Chooser
//	c.Reset()
//	for each shard: c.NextShard(), then for each usable replica: c.Add(snapshots)
//	snapshot, covered := c.Best()
//
// The snapshot that covers the most shards wins; among equals, the newest one
// that on average has most of the replicas, so that a snapshot which has just
// appeared on a single replica does not draw all load there.
package snap

import (
	"slices"

	"github.com/lagoontrail/lagoon"
)

// Chooser counts the versions held. The zero value has no shards.
type Chooser struct {
	tallies []tally
	shard   int
}

// tally counts one snapshot.
type tally struct {
	snapshot lagoon.Snapshot
	last     int
	shards   int
	replicas int
}

// Reset starts anew.
func (c *Chooser) Reset() {
	c.tallies = c.tallies[:0]
	c.shard = -1
}

// NextShard starts the replicas of the next shard.
func (c *Chooser) NextShard() { c.shard++ }

// Add records the snapshots held by one usable replica of the current shard.
func (c *Chooser) Add(snapshots []lagoon.Snapshot) {
	for _, v := range snapshots {
		i := slices.IndexFunc(c.tallies, func(t tally) bool { return t.snapshot == v })
		if i < 0 {
			c.tallies = append(c.tallies, tally{snapshot: v, last: -1})
			i = len(c.tallies) - 1
		}
		t := &c.tallies[i]
		t.replicas++
		if t.last != c.shard {
			t.last = c.shard
			t.shards++
		}
	}
}

// Best returns the chosen snapshot and the number of shards that it covers, or
// zeros when no replica holds any snapshot.
func (c *Chooser) Best() (lagoon.Snapshot, int) {
	var best tally
	for _, t := range c.tallies {
		if better(t, best) {
			best = t
		}
	}
	return best.snapshot, best.shards
}

// better reports whether a is the better choice. A snapshot counts as widely
// held when it has at least half again as many replicas as shards.
func better(a, b tally) bool {
	if a.shards != b.shards {
		return a.shards > b.shards
	}
	wideA, wideB := a.replicas*2 >= a.shards*3, b.replicas*2 >= b.shards*3
	if wideA != wideB {
		return wideA
	}
	return a.snapshot > b.snapshot
}
