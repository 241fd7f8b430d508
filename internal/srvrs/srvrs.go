// Package srvrs holds the columns of one server in the control tables.
//
// # Usage
//
//	var t rows.Table[srvrs.Row]
//	t.Ensure("archive-1a").SetMine(true)
//
// The config system writes the declaration, the owner system who may use the
// server, the probe and receive systems what is known of its state.
package srvrs

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one server, keyed by its name.
type Row struct {
	spec       lagoon.ServerSpec   // the declaration
	service    string              // the service it belongs to
	assignment lagoon.Assignment   // who owns it in the known placement
	mine       bool                // whether this run of this node owns it
	acting     bool                // whether this node may send to it, lease permitting
	giving     bool                // whether this node is giving it up and waits for running requests
	status     lagoon.ServerStatus // the latest status known
	heard      time.Duration       // when the status was learned
	spread     time.Duration       // the mean latency last told to the other nodes
	changed    uint64              // the change counter at which the status last changed
	probed     time.Duration       // when the last probe was started
	probing    bool                // whether a probe is running
	failures   int                 // probes failed in a row
	freedAt    uint64              // the latest placement version at which a previous owner said that it has given the server up
}
