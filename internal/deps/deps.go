// Package deps holds the external dependencies of a node, so that tests and
// benchmarks can replace them.
//
// # Usage
//
//	n, stop, err := node.New(s, log, func(d *deps.Deps) { d.SetUpstream(slow) })
package deps

import "github.com/lagoontrail/lagoon"

//go:generate go run ../accgen -dir .

// Deps are the external dependencies of one node.
type Deps struct {
	clock    lagoon.Clock    // the clock
	store    lagoon.Store    // the client of the platform's object API
	upstream lagoon.Upstream // the client that sends requests to servers
	link     lagoon.PeerLink // the transport to other nodes
}
