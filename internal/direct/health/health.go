// Package health holds what the node observed of one server in its own
// attempts: load, latency and failures.
//
// # Usage
//
//	row := table.Ensure("i-7f3a91c2")
//	row.SetInflight(row.Inflight() + 1)
//
// Rows are keyed by server ID and removed some time after the server's
// announcement was removed.
package health

import (
	"time"

	"github.com/lagoontrail/lagoon/internal/direct/bias"
	"github.com/lagoontrail/lagoon/internal/direct/flight"
)

//go:generate go run ../../accgen -dir . -rows

// Row is what the node observed of one server.
type Row struct {
	inflight            int           // the number of attempts in flight
	excessLatency       float64       // the moving average of latency relative to the route's mean, less 1
	sampledAt           time.Duration // the time of the last sample of latency or failure
	reportedLoad        float64       // the requests running and queued for other nodes, as last reported by the server
	reportedAt          time.Duration // the time of the last report of its load
	consecutiveFailures int           // the number of consecutive failures
	failureRate         float64       // the moving average of the share of attempts that failed, were refused or got no response
	silentSince         time.Duration // the time since which attempts are in flight without a response
	backoffUntil        time.Duration // the end of the backoff after failures
	suspects            int           // the number of attempts in flight of requests that may end the server
	connectFailed       bool          // whether the last failure was a failure to connect
	nextColdAttempt     time.Duration // the earliest time of the next attempt while the server is cold
	startedMilli        int64         // the start time of the server run that the row describes, in Unix milliseconds
	addressReusedStart  int64         // the start time of the run at whose address another server responded, in Unix milliseconds
	slowdown            float64       // how long work takes on the server, relative to its usual time, as last reported; 0 if it does not report that

	work flight.List
	bias bias.Average
}

// WorkRef returns the attempts in flight with their costs, to be modified in place.
func (r *Row) WorkRef() *flight.List { return &r.work }

// BiasRef returns how the measured times deviate from the reported speed, to be modified in place.
func (r *Row) BiasRef() *bias.Average { return &r.bias }
