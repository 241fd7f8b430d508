// Package jobs holds the columns of one job: a shard request at the node that
// owns the server.
//
// # Usage
//
//	id, j := t.Add("")
//	j.SetGate(gate)
package jobs

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one job, queued or running.
type Row struct {
	gate           lagoon.RowID  // the gate of the server
	originAddr     string        // the address of the node that sent the shard request; empty for this node
	originStartID  uint64        // the start ID of the origin node
	originLane     int           // the lane of the origin node
	shardRequestID uint64        // the ID of the shard request at the origin node
	call           lagoon.Call   // the request to the server
	deadline       time.Duration // the deadline of the query
	sentAt         time.Duration // the time at which the request was sent to the server; 0 while queued
	atLimit        bool          // whether the request used the last free slot of the gate's limit
	idempotent     bool          // whether the request may run more than once
	hedge          bool          // whether the request is a hedge of one that is still running
	weight         int           // the weight of the service when requests are shed
	cancel         func()        // the function that cancels the running request
	reply          lagoon.Reply  // the server's reply, once the request has ended
	duration       time.Duration // the duration of the request to the server
	canceled       bool          // whether the origin node has cancelled the request
}
