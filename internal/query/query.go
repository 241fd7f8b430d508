// Package query holds the columns of one query at the node that serves it.
//
// # Usage
//
//	id, q := t.Add("")
//	q.SetDeadline(now + timeout)
//
// Only the systems of the query's lane use the row.
package query

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// The states of a query.
const (
	Arrived  uint8 = iota // not admitted yet
	Claiming              // waiting for the claim on its request ID
	Running               // shard requests are planned or running
	Ended                 // to be answered in this tick
)

//go:generate go run ../accgen -dir . -rows

// Row is one query that is being answered.
type Row struct {
	query          lagoon.Query         // the query as received
	answerChan     chan<- lagoon.Answer // the buffered channel for the answer
	startedAt      time.Duration        // the arrival time
	deadline       time.Duration        // the deadline
	state          uint8                // the state, one of this package's constants
	claimAttempt   uint64               // the attempt ID of the claim; 0 if none was requested
	snapshot       lagoon.Snapshot      // the snapshot in use
	excluded       []lagoon.Snapshot    // the snapshots not to use, because a server no longer held them
	groups         [][]string           // the names of the servers of each shard
	shards         []uint32             // the shards of the shard map
	parts          [][]byte             // the response for each shard
	resolved       []bool               // whether each shard is covered or abandoned
	missingReasons []string             // the reason why each abandoned shard is not covered
	attempts       []int                // the number of requests for each shard so far
	inflight       []int                // the number of requests running for each shard
	requests       []lagoon.RowID       // the shard requests
	unresolved     int                  // the number of shards not resolved yet
	covered        int                  // the number of covered shards
	requestsSent   int                  // the number of shard requests sent to owners
	mayHaveRun     bool                 // whether a shard request of unknown status may have run
	overloaded     bool                 // whether a shard request was refused for overload
	hedges         int                  // the number of hedges
	retries        int                  // the number of retries
	restarts       int                  // the number of restarts on another snapshot
	claimed        bool                 // whether this attempt holds the claim on the request ID
	outcomeSet     bool                 // whether the outcome was set before any shard request was sent
	outcome        lagoon.Outcome       // the outcome, if it was set before any shard request was sent
	reason         string               // the reason for a refusal
	countedRunning bool                 // whether the service's running queries include this one
}
