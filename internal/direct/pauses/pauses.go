// Package pauses holds the pauses that servers asked for in their responses.
//
// # Usage
//
//	row := table.Ensure("i-7f3a91c2")
//	row.SetUntil(now + pause)
//
// Rows are keyed by server ID. A row applies to one run of the server, and stays after the
// pause until the server has shown that it serves again.
package pauses

import "time"

//go:generate go run ../../accgen -dir . -rows

// Row is a pause that one run of a server asked for.
type Row struct {
	startedMilli int64         // the start time of the run, in Unix milliseconds
	since        time.Duration // when the response that asked for the pause was read
	until        time.Duration // when the pause ends for this node
	allowance    int           // the number of attempts that this node may have in flight at the server after the pause
}
