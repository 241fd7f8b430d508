// Package srvvw holds what a traffic lane sees of one server.
//
// # Usage
//
//	s := v.Server(i)
//	if s.Usable() && s.Holds(snapshot) { ... }
//
// Rows are written while a view is built and never after.
package srvvw

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one server in a view.
type Row struct {
	name      string            // the server's name
	addr      string            // the server's address
	zone      string            // the availability zone
	service   string            // the service it belongs to
	slots     int               // requests that the server runs at once
	conns     int               // connections that the server accepts
	owner     string            // the owning node's name
	ownerAddr string            // the owning node's address
	ownerZone string            // the owning node's availability zone
	mine      bool              // whether this node owns it
	acting    bool              // whether this node may send to it, lease permitting
	since     uint64            // the placement version at which this owner was assigned
	out       bool              // whether its zone is taken out
	outVer    uint64            // the resource version at which its zone came back last; 0 when it never was out
	up        bool              // whether it answers
	draining  bool              // whether it is leaving
	ejected   bool              // whether its owner holds it back as an outlier
	start     uint64            // its start id
	snapshots []lagoon.Snapshot // the snapshots it holds, ascending
	limit     int               // requests its owner allows at once
	load      int               // requests queued or running at its owner
	latency   time.Duration     // its recent mean latency
	ownerLive bool              // whether its owner was heard lately
	group     []int             // the positions in the view of the servers of its group, itself included
}

// Usable reports whether new work may go to the server through its owner.
func (v *Row) Usable() bool {
	return v.owner != "" && v.ownerLive && v.up && !v.out && !v.draining && !v.ejected
}

// Holds reports whether the server holds a snapshot.
func (v *Row) Holds(s lagoon.Snapshot) bool { return slices.Contains(v.snapshots, s) }

// Blocked returns why new work may not go to the server, or "".
func (v *Row) Blocked() string {
	switch {
	case v.out:
		return "zone_out"
	case v.owner == "":
		return "no_owner"
	case !v.ownerLive:
		return "owner_not_heard"
	case v.draining:
		return "draining"
	case v.ejected:
		return "ejected"
	case !v.up:
		return "down"
	}
	return ""
}
