// Package srvrs defines the control table of servers.
//
// # Usage
//
//	var t rows.Table[srvrs.Row]
//	t.Ensure("archive-1a").SetOwned(true)
//
// Adopting a configuration writes the declaration, the owner system the
// ownership, and the probe and receiv systems the status.
package srvrs

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one server, keyed by its name.
type Row struct {
	spec            lagoon.ServerSpec   // the declaration
	service         string              // the name of its service
	assignment      lagoon.Assignment   // its owner in the placement in use
	owned           bool                // whether this run of this node owns it
	sendAllowed     bool                // whether this node may send requests to it while the node's lease lasts
	releasing       bool                // whether this node has lost ownership and waits for running requests to end
	status          lagoon.ServerStatus // the latest known status
	statusAt        time.Duration       // when the status was last updated
	sentLatency     time.Duration       // the mean latency last sent to the other nodes
	statusSeq       uint64              // the sequence number of the latest status change
	probedAt        time.Duration       // when the last probe started
	probing         bool                // whether a probe is in progress
	failedProbes    int                 // consecutive failed probes
	releasedVersion uint64              // the latest placement version under which a previous owner reported the server as released
}
