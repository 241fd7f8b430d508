// Package refer chooses the nodes to which a caller is referred.
//
// # Usage
//
//	var p refer.Policy
//	nodes := p.Members(live, "macon-a")
//
// Callers choose among the nodes at random and keep the answer for a while.
// Nodes of the caller's own availability zone are near; with too few of them,
// the loss of one would be felt by all of its callers, so all nodes are named.
package refer

import "github.com/lagoontrail/lagoon"

// fewest is the number of near nodes that are enough by themselves: one may
// stop and another fail.
const fewest = 2

// most bounds an answer, in nodes.
const most = 64

// Policy chooses nodes. The zero value works; it has no state.
type Policy struct{}

// Members returns the nodes for a caller in a zone.
func (Policy) Members(live []lagoon.Member, zone string) []lagoon.Member {
	var near []lagoon.Member
	for _, m := range live {
		if m.Zone() == zone {
			near = append(near, m)
		}
	}
	if len(near) < fewest {
		near = live
	}
	return near[:min(len(near), most)]
}
