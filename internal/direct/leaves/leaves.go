// Package leaves holds the departures that servers announced in their responses.
//
// # Usage
//
//	row := table.Ensure("i-7f3a91c2")
//	row.SetStartedMilli(replica.StartedMilli())
//
// Rows are keyed by server ID. A row applies to one run of the server and to the runs
// before it, and stays until a later run is known.
package leaves

import "time"

//go:generate go run ../../accgen -dir . -rows

// Row is the departure of one run of a server.
type Row struct {
	startedMilli int64         // the start time of the run, in Unix milliseconds
	anyRun       bool          // whether the start time of the run is not known yet
	since        time.Duration // when the first response that announced the departure was read
	lastUse      time.Duration // until when the run may get requests that no other server can take
}
