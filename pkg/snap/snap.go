// Package snap selects the snapshot for a query.
//
// # Usage
//
//	var s snap.Selector
//	s.Reset()
//	for each shard: s.NextShard(), then for each usable replica: s.Add(snapshots)
//	snapshot, covered := s.Best()
//
// The snapshot that covers the most shards is selected. Among equals, the newest one
// that is widely held is selected, because a new snapshot that is held by only one
// replica per shard would direct all load to those replicas.
package snap

import (
	"slices"

	"github.com/lagoontrail/lagoon"
)

// Selector counts the shards and replicas of each snapshot. The zero value is
// empty.
type Selector struct {
	counts []count
	shard  int
}

// count is the number of shards and replicas that hold one snapshot.
type count struct {
	snapshot  lagoon.Snapshot
	lastShard int
	shards    int
	replicas  int
}

// Reset removes all counts.
func (s *Selector) Reset() {
	s.counts = s.counts[:0]
	s.shard = -1
}

// NextShard starts the next shard.
func (s *Selector) NextShard() { s.shard++ }

// Add records the snapshots held by one usable replica of the current shard.
func (s *Selector) Add(snapshots []lagoon.Snapshot) {
	for _, snapshot := range snapshots {
		i := slices.IndexFunc(s.counts, func(c count) bool { return c.snapshot == snapshot })
		if i < 0 {
			s.counts = append(s.counts, count{snapshot: snapshot, lastShard: -1})
			i = len(s.counts) - 1
		}
		c := &s.counts[i]
		c.replicas++
		if c.lastShard != s.shard {
			c.lastShard = s.shard
			c.shards++
		}
	}
}

// Best returns the selected snapshot and the number of shards that it covers, or
// zeros if no replica holds a snapshot.
func (s *Selector) Best() (lagoon.Snapshot, int) {
	var best count
	for _, c := range s.counts {
		if better(c, best) {
			best = c
		}
	}
	return best.snapshot, best.shards
}

// better reports whether a is preferred to b. A snapshot is widely held if there are
// on average at least 1.5 replicas of each covered shard.
func better(a, b count) bool {
	if a.shards != b.shards {
		return a.shards > b.shards
	}
	wideA, wideB := a.replicas*2 >= a.shards*3, b.replicas*2 >= b.shards*3
	if wideA != wideB {
		return wideA
	}
	return a.snapshot > b.snapshot
}
