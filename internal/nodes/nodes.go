// Package nodes defines the control table of the other nodes.
//
// # Usage
//
//	var t rows.Table[nodes.Row]
//	t.Ensure("entry-3").SetHeartbeatAt(now)
//
// The receiv system writes what heartbeats carry, the watchr system what the
// platform's instance list shows, and the beats system what was sent to the
// node. Times are monotonic; 0 means never.
package nodes

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is another node, keyed by its name.
type Row struct {
	member           lagoon.Member // the latest known run of the node
	heartbeatAt      time.Duration // when its last heartbeat arrived
	heartbeatSentAt  time.Duration // the send time in its last heartbeat, on its own clock, to be echoed
	echoedSentAt     time.Duration // the send time of this node's latest heartbeat that the other node echoed while it had no newer placement or configuration
	placementVersion uint64        // the placement version in its last heartbeat
	configRevision   uint64        // the configuration revision in its last heartbeat
	stopping         bool          // whether the node is stopping
	ready            bool          // whether the node accepts queries
	listedAt         time.Duration // when the instance list last contained it
	discoveredAt     time.Duration // when this run of the node was discovered
	ended            bool          // whether this run of the node is known to have ended
	pushedAt         time.Duration // when a configuration or placement was last pushed to the node
	sentStatusSeq    uint64        // the sequence number of the latest server status change sent to the node
}
