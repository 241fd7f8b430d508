// Package qrys holds the columns of one query in a traffic lane.
//
// # Usage
//
//	id, q := t.Add("")
//	q.SetDeadline(now + timeout)
//
// A lane's systems write the rows; nothing outside the lane sees them.
package qrys

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// The states of a query.
const (
	Fresh    uint8 = iota // arrived in this tick
	Claiming              // waits for its claim
	Running               // its legs are planned
	Ended                 // its answer is composed at the end of the tick
)

//go:generate go run ../accgen -dir . -rows

// Row is one query that is being answered.
type Row struct {
	query    lagoon.Query         // the request
	reply    chan<- lagoon.Answer // where the answer goes; has room for it
	started  time.Duration        // when the query arrived
	deadline time.Duration        // when the caller stops waiting
	state    uint8                // the state, one of this package's constants
	attempt  uint64               // the attempt of an at-most-once claim
	snapshot lagoon.Snapshot      // the snapshot in use
	avoid    []lagoon.Snapshot    // snapshots that a server no longer held
	groups   [][]string           // for each shard, its servers
	shards   []uint32             // the shards of the map
	parts    [][]byte             // for each shard, its answer
	done     []bool               // for each shard, whether it is answered or given up
	reasons  []string             // for each shard that was given up, why
	tries    []int                // for each shard, the requests sent
	running  []int                // for each shard, the requests running
	legs     []lagoon.RowID       // all legs sent
	open     int                  // shards not done
	covered  int                  // shards answered
	sent     int                  // requests handed to an owner
	unsure   bool                 // whether a request may have run without an answer
	refused  bool                 // whether a leg was refused for overload
	hedges   int                  // extra requests by hedging
	retries  int                  // requests sent again after a refusal
	restarts int                  // times the query started over on another version
	claimed  bool                 // whether this attempt holds a claim
	decided  bool                 // whether outcome says how the query ended, before any request was sent
	outcome  lagoon.Outcome       // how the query ended, once that is decided
	reason   string               // why, when the query was refused
	counted  bool                 // whether the query counts in its service's running queries
}
