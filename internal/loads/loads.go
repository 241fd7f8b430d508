// Package loads defines a lane's table of server loads: its own outstanding shard
// requests, and the load that owners report with their responses.
//
// # Usage
//
//	l := t.Ensure("archive-1a")
//	l.SetOutstanding(l.Outstanding() + 1)
package loads

import "time"

//go:generate go run ../accgen -dir . -rows

// Row is the load of one server, keyed by the server's name.
type Row struct {
	outstanding   int           // shard requests of this lane that are queued or running at the owner
	reportedLoad  int           // requests queued or running at the owner in its latest report
	reportedLimit int           // the concurrency limit in the owner's latest report; 0 before any
	meanLatency   time.Duration // the recent mean latency; 0 before any
	reportedAt    time.Duration // when the owner's latest report arrived
}
