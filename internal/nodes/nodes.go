// Package nodes holds the columns of one node in the control tables.
//
// # Usage
//
//	var t rows.Table[nodes.Row]
//	t.Ensure("entry-3").SetHeard(now)
//
// The receive system writes what peers say, the member system what follows
// from it. All times are monotonic; 0 means never.
package nodes

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one other node, keyed by its name.
type Row struct {
	member     lagoon.Member // the latest run of the node that is known
	heard      time.Duration // when its last heartbeat arrived
	stamp      time.Duration // the sent stamp of its last heartbeat, to be returned
	returned   time.Duration // the send time of this node's latest heartbeat that it returned while knowing nothing newer
	placement  uint64        // the placement version it knows
	config     uint64        // the configuration revision it knows
	leaving    bool          // whether it is stopping
	ready      bool          // whether it accepts queries
	listed     time.Duration // when the instance list last named it
	knownAt    time.Duration // when it became known
	gone       bool          // whether this run of the node has surely ended
	pushed     time.Duration // when a configuration or placement was last pushed to it
	statusSeen uint64        // the status change that was last sent to it
}
