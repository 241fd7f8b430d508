// Package former holds the servers that have left, by the run that did. A registry that goes on
// from a copy may list them again.
//
// # Usage
//
//	row := table.Ensure("i-7f3a91c2")
//	row.SetStartedMilli(replica.StartedMilli())
package former

import "time"

//go:generate go run ../../accgen -dir . -rows

// Row is the run of a server that has left.
type Row struct {
	startedMilli int64         // the start time of the run, in Unix milliseconds
	sequence     uint64        // how many reports it had made; 0 if it did not say so
	leftAt       time.Duration // when the node dropped the server
}
