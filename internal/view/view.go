// Package view holds the read-only copy of the control state that the traffic
// lanes use.
//
// # Usage
//
//	v := publishedView.Load()    // an atomic pointer, loaded once per tick
//	if now >= v.LeaseUntil() { refuse() }
//	s, ok := v.Service(name)
//
// A view is immutable once published; the control goroutine publishes a new one
// for each change. Invariant: the configuration revision and the placement
// version of successive views never decrease.
package view

import (
	"time"

	"github.com/lagoontrail/lagoon/internal/srvvw"
	"github.com/lagoontrail/lagoon/internal/svcvw"
)

//go:generate go run ../accgen -dir . -rows

// View is an immutable copy of the control state. The zero value has no services and
// no lease, so a lane refuses every query.
type View struct {
	self             string            // this node's name
	startID          uint64            // this node's start ID
	zone             string            // this node's availability zone
	leaseUntil       time.Duration     // the monotonic time at which this node's lease expires
	refusing         bool              // whether the node refuses new queries
	configRevision   uint64            // the configuration revision
	placementVersion uint64            // the placement version
	servers          []srvvw.Row       // the servers
	services         []svcvw.Row       // the services
	peerAddrs        map[string]string // the addresses of the known nodes by name
	serverIndex      map[string]int    // the positions of the servers by name
	serviceIndex     map[string]int    // the positions of the services by name
	claimKeepers     []string          // the address of the node that keeps each claim bucket; empty for this node
}

// Server returns the server with a name, or false if it is not declared.
func (v *View) Server(name string) (*srvvw.Row, bool) {
	i, ok := v.serverIndex[name]
	if !ok {
		return nil, false
	}
	return &v.servers[i], true
}

// Service returns the service with a name, or false if it is not declared.
func (v *View) Service(name string) (*svcvw.Row, bool) {
	i, ok := v.serviceIndex[name]
	if !ok {
		return nil, false
	}
	return &v.services[i], true
}

// PeerAddr returns the address of a node, or "" if the node is not known.
func (v *View) PeerAddr(node string) string { return v.peerAddrs[node] }
