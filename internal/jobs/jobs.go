// Package jobs holds the columns of one job, a leg at the node that owns its
// server.
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
	gate       lagoon.RowID  // the gate of the server
	from       string        // the address of the node that sent the leg; empty for this node
	fromStart  uint64        // that node's start id
	lane       int           // that node's lane
	leg        uint64        // the leg's id at that node
	call       lagoon.Call   // the request to the server
	deadline   time.Duration // when the query's caller stops waiting
	started    time.Duration // when the request was sent; 0 while queued
	full       bool          // whether the gate's limit was in use when it was sent
	idempotent bool          // whether the request may run twice
	hedge      bool          // whether it repeats a leg that is still running
	weight     int           // the importance under overload
	stop       func()        // cancels the running request
	reply      lagoon.Reply  // the server's answer, once it ended
	took       time.Duration // the time the server took
	withdrawn  bool          // whether the sending node no longer wants the answer
}
