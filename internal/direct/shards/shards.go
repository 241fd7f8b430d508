// Package shards holds the columns of one shard of a caller's request.
//
// # Usage
//
//	id, row := table.Add("")
//	row.SetService("archive-desk-3")
//
// A request to a single service has one shard. The traffic loop owns the rows.
package shards

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// The states of a shard.
const (
	Waiting uint8 = iota // an attempt is queued and none is in flight
	Running              // attempts are in flight
	Covered              // a server responded successfully
	Missing              // no successful response is expected
)

//go:generate go run ../../accgen -dir . -rows

// Row is one shard of a request.
type Row struct {
	request        lagoon.RowID   // the request
	service        string         // the service that holds the shard
	state          uint8          // the state, one of this package's constants
	triedServers   int            // the number of servers that attempts reached or are in flight to, each counted once
	excluded       []string       // the IDs of the servers that get no further attempt
	refusedBy      []string       // the IDs of the servers that refused the request and may be retried
	lostBy         []string       // the IDs of the servers whose response was lost and that may be retried
	refusals       int            // the number of refusals so far
	losses         int            // the number of lost responses so far
	needsToken     bool           // whether the next attempt must take a token from the retry budget
	notBefore      time.Duration  // the earliest time of the next attempt, after a refusal
	inflight       int            // the number of attempts in flight
	attempts       []lagoon.RowID // the attempts
	reply          any            // the server's response
	stamp          string         // the stamp of the last response, also of one that is not used
	attemptReason  string         // the reason for the queued or last attempt
	attemptPending bool           // whether an attempt waits in the queue
	queuedAt       time.Duration  // when the pending attempt was queued
	returnsAt      time.Duration  // when the first pause of its servers ends, if the shard is missing because they asked for one; 0 otherwise
	detail         string         // a description of the last failure, for the response's reason and the journal
}
