// Package srvvw holds the server rows of a view.
//
// # Usage
//
//	s, ok := v.Server("archive-1a")
//	if ok && s.Usable() && s.Holds(snapshot) { ... }
//
// Rows are immutable once their view is published.
package srvvw

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one server in a view.
type Row struct {
	name                string            // the server's name
	addr                string            // the server's address
	zone                string            // the server's availability zone
	service             string            // the name of the server's service
	slots               int               // the number of requests that the server runs concurrently
	maxConns            int               // the maximum number of connections that the server accepts
	owner               string            // the owning node's name
	ownerAddr           string            // the owning node's address
	ownerZone           string            // the owning node's availability zone
	owned               bool              // whether this node owns the server
	sendAllowed         bool              // whether this node may send to the server while its lease is valid
	sinceVersion        uint64            // the placement version that assigned the owner
	zoneOut             bool              // whether the server's zone is taken out of service
	zoneRestoredVersion uint64            // the latest resource version at which the zone may have returned to service; 0 if it was never out
	up                  bool              // whether the server responds to the owner's probes
	draining            bool              // whether the server is draining
	ejected             bool              // whether the owner has ejected the server as an outlier
	startID             uint64            // the server's start ID
	snapshots           []lagoon.Snapshot // the snapshots that the server holds, ascending
	limit               int               // the number of concurrent requests that the owner allows
	load                int               // the number of requests queued or running at the owner
	meanLatency         time.Duration     // the recent mean latency
	ownerLive           bool              // whether the owner's heartbeats are recent
	replicas            []int             // the positions in the view of all servers of the group
}

// Usable reports whether new requests may be sent to the server.
func (v *Row) Usable() bool {
	return v.owner != "" && v.ownerLive && v.up && !v.zoneOut && !v.draining && !v.ejected
}

// Holds reports whether the server has a snapshot.
func (v *Row) Holds(s lagoon.Snapshot) bool { return slices.Contains(v.snapshots, s) }

// UnusableReason returns why new requests may not be sent to the server, or "" if
// they may.
func (v *Row) UnusableReason() string {
	switch {
	case v.zoneOut:
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
