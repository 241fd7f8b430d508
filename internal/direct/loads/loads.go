// Package loads holds the load that the servers reported in their responses to this node.
//
// # Usage
//
//	row := table.Ensure("i-7f3a91c2")
//	row.SetQueue(float64(queued) / float64(slots))
//
// Rows are keyed by server ID and removed when their reports are old.
package loads

import "time"

//go:generate go run ../../accgen -dir . -rows

// Row is the last report of one server.
type Row struct {
	queue      float64       // the requests that wait, per slot
	slowdown   float64       // how long work takes, relative to its usual time; 0 if the server did not say so
	work       time.Duration // the moving average of the time that an attempt takes in a slot, at the usual speed
	reportedAt time.Duration // the time of the report
	refusedAt  time.Duration // when it last refused an attempt with all slots busy and requests waiting; 0 for never
	samples    int           // the number of samples of work
}
