// Package shards holds the columns of one shard of a caller's request.
//
// # Usage
//
//	id, s := t.Add("")
//	s.SetService("archive-desk-3")
//
// A request to a single service has one shard. The traffic loop owns the rows.
package shards

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// The states of a shard.
const (
	Waiting uint8 = iota // no attempt is in flight
	Running              // attempts are in flight
	Covered              // a server answered
	Missing              // no server will answer
)

//go:generate go run ../../accgen -dir . -rows

// Row is one shard of a request.
type Row struct {
	request     lagoon.RowID   // the request
	service     string         // the service that holds the shard
	state       uint8          // the state, one of this package's constants
	serverCount int            // the number of servers that the request was sent to
	excluded    []string       // the ids of the servers that get no further attempt
	refusedBy   []string       // the ids of the servers that refused the request and may be retried
	refusals    int            // the number of refusals so far
	needsToken  bool           // whether the next attempt must take a token from the retry budget
	notBefore   time.Duration  // the earliest time of the next attempt, after a refusal
	running     int            // the number of attempts in flight
	attempts    []lagoon.RowID // the attempts
	reply       any            // the server's answer
	cause       string         // the reason for the next attempt
	pending     bool           // whether an attempt is waiting to be sent
	queuedAt    time.Duration  // the time at which that attempt was queued
	detail      string         // the cause of the last failure, for people
}
