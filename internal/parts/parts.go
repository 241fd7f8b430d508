// Package parts holds the collaborators that connect a node to the outside.
//
// # Usage
//
//	n, stop, err := node.New(s, log, func(p *parts.Parts) { p.SetUpstream(slow) })
package parts

import "github.com/lagoontrail/lagoon"

//go:generate go run ../accgen -dir .

// Parts are the collaborators of one node.
type Parts struct {
	clock    lagoon.Clock    // the clock
	store    lagoon.Store    // the platform's object API
	upstream lagoon.Upstream // sends requests to servers
	link     lagoon.PeerLink // sends messages to other nodes
}
