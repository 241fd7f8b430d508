// Package mates holds the columns of one other node in control's tables.
//
// # Usage
//
//	r := t.Ensure("frontend-macon-a-1")
//	r.SetHeard(now)
package mates

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one other node.
type Row struct {
	member  lagoon.Member // the newest run of the node
	heard   time.Duration // when its last heartbeat arrived; 0 for never
	ready   bool          // whether it takes requests
	leaving bool          // whether it is stopping
	live    bool          // whether it was live in the last view
	config  uint64        // the revision of the catalog that it uses
}
