// Package tries holds the columns of one attempt at one server.
//
// # Usage
//
//	id, attempt := table.Add("")
//	attempt.SetServer("i-7f3a91c2")
//
// The traffic loop owns the rows. A row stays in the table until the attempt
// ends, which may be after its request has been answered.
package tries

import (
	"context"
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one attempt.
type Row struct {
	request       lagoon.RowID         // the request
	shard         lagoon.RowID         // the shard
	service       string               // the service's name
	server        string               // the server's ID
	startedMilli  int64                // the start time of the server run, in Unix milliseconds
	route         string               // the route's name
	sentAt        time.Duration        // the start time
	parallel      bool                 // whether another attempt for the shard was in flight at its start
	firstToServer bool                 // whether it is the first attempt of the request at this server
	done          bool                 // whether the attempt has ended
	cancel        context.CancelFunc   // the function that cancels the attempt
	result        lagoon.AttemptResult // the result, once the attempt has ended
	elapsed       time.Duration        // the time from the start to the end
	requestDone   bool                 // whether the request ended before the attempt
	zone          string               // the availability zone of the server
	costKey       lagoon.CostKey       // the key of its cost, if the cost model is in use
	cost          lagoon.Cost          // the cost expected at its start
	slowdown      float64              // the slowdown of the server expected at its start; 0 if the server does not report it
	wait          time.Duration        // the time expected at its start until the server begins the work, and of the response on its way back
	versionOrder  uint64               // the order of a roll-out that it is counted for; 0 for none
	toTarget      bool                 // whether the server has the target version of that order
	suspect       bool                 // whether its request was a suspect at its start
	cold          bool                 // whether the server was cold at its start, for an attempt that is counted
	uncounted     bool                 // whether its response is not counted, because it started before the order
	expected      time.Duration        // the time expected at its start until the response
	reportAge     time.Duration        // the age at its start of the report from which that was estimated
}
