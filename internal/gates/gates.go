// Package gates holds the columns of one gate: the concurrency limit and the queue
// of one server, in the lane of the owning node that sends to the server.
//
// # Usage
//
//	g := t.Ensure("archive-1a")
//	if g.Inflight() < g.Ramp().Limit() { send() }
//
// Invariant: a request is sent only while inflight is below the ramp's limit, and
// the limit never exceeds the server's slots. Inflight exceeds the limit for a while
// after a cold sample has lowered it.
package gates

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// CancelGrace is the time that a server may take to stop a request after it is
// cancelled or its deadline has passed. The slot of a cancelled request stays in
// use for that long, and a request times out that long before the deadline or the
// end of the lease.
const CancelGrace = 5 * time.Millisecond

//go:generate go run ../accgen -dir . -rows

// Row is one gate, keyed by the server's name.
type Row struct {
	sinceVersion        uint64           // the placement version that made this node the owner
	startID             uint64           // the start ID of the server that the ramp belongs to
	zoneRestoredVersion uint64           // the latest resource version at which the zone may have returned to service, as of the latest ramp
	ramp                lagoon.RampState // the ramp-up state of the server
	inflight            int              // the number of requests running at the server
	queue               []lagoon.RowID   // the queued jobs, oldest first
	meanLatency         time.Duration    // the recent mean latency
	warmLatency         time.Duration    // the mean latency while the server is warm
	responses           int              // the number of responses since the latencies were last reset
	consecutiveFailures int              // the number of consecutive failed requests
	consecutiveOverdue  int              // the number of consecutive requests that took far longer than expected
	ejectedUntil        time.Duration    // the time at which the ejection's cooldown ends; 0 if the server is not ejected
	ejections           int              // the number of ejections since the last recovery
	reported            bool             // whether the latest state was reported to control
	consecutiveSlow     int              // the number of consecutive responses that were as slow as a cold server's
	lastResponseAt      time.Duration    // the time of the last response
}
