// Package gates holds the columns of one gate: the slots of one server, at the
// lane of the owning node that admits for it.
//
// # Usage
//
//	g := t.Ensure("archive-1a")
//	if g.Inflight() < g.Ramp().Limit() { send() }
//
// Invariant: inflight never passes the ramp's limit, and the limit never
// passes the server's slots.
package gates

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// CancelGrace is how long a server may take to stop after its request was
// cancelled or its deadline came. A slot stays taken for that long, and a request
// is given up that much before its lease or deadline ends.
const CancelGrace = 5 * time.Millisecond

//go:generate go run ../accgen -dir . -rows

// Row is one gate, keyed by the server's name.
type Row struct {
	since    uint64           // the placement version at which this node became the owner
	start    uint64           // the server's start id that the ramp belongs to
	outVer   uint64           // the resource version at which its zone had come back when the ramp was last started
	ramp     lagoon.RampState // how much the server gets
	inflight int              // requests running
	queue    []lagoon.RowID   // jobs waiting, oldest first
	latency  time.Duration    // the recent mean time of an answer
	warm     time.Duration    // the mean time of an answer while warm
	answers  int              // answers since the start id changed
	strikes  int              // failures in a row
	overdue  int              // requests in a row that were cancelled because another replica answered first
	ejected  time.Duration    // until when the server is held back as an outlier; 0 when it is not
	ejects   int              // ejections since the last recovery
	told     bool             // whether control was told of the latest state
	slow     int              // cold-looking answers in a row
	lastOK   time.Duration    // when the last answer came
}
