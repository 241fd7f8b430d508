// Package reqs holds the columns of one caller's request that the node routes.
//
// # Usage
//
//	id, row := table.Add("")
//	row.SetDeadline(now + timeout)
//
// The traffic loop owns the rows.
package reqs

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one request in progress.
type Row struct {
	request       lagoon.Request         // the request
	responseChan  chan<- lagoon.Response // the buffered channel that receives the response
	route         *lagoon.Route          // the matching route; nil before admission
	view          *view.View             // the view that was in force at admission
	arrivedAt     time.Duration          // the arrival time
	callerStart   time.Duration          // the time at which the caller started to wait, including connection setup and earlier refused attempts
	deadline      time.Duration          // the time at which the caller stops waiting
	shards        []lagoon.RowID         // the shards; one for a request to a single service
	pendingShards int                    // the number of shards without a response that may still get one
	coveredShards int                    // the number of shards that responded
	mayHaveRun    bool                   // whether a server may have run the request
	decided       bool                   // whether the response has been decided
	response      lagoon.Response        // the response, once it is decided
	trace         []byte                 // the attempts so far, for the journal
	organisation  string                 // the organisation of the caller; empty if the catalog declares none or the route is public
	rank          int                    // the rank under overload: the organisation's priority if it has one, else the route's; 0 is the highest
	tokenUntil    time.Duration          // when the quota token of this request expires; 0 if it has none
	tokenSince    time.Duration          // when it first needed a quota token, and was counted as demand of its organisation; 0 before
	sentAt        time.Duration          // when the first attempt was started; 0 before
	reached       bool                   // whether an attempt may have reached a server
	governed      bool                   // whether an admission policy decided on it
	fingerprint   string                 // what identifies the request when it comes again; empty before it is needed
	returning     bool                   // whether its caller was refused and came back sooner than told
}
