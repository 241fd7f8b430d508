// Package subset selects the nodes whose addresses a caller gets.
//
// # Usage
//
//	var p subset.Policy
//	nodes := p.Select(live, "macon-a")
//
// Callers distribute requests over the nodes at random and cache the list. Nodes in
// the caller's availability zone are preferred. If there are too few of them, the list
// has all nodes, because the loss of one node would affect too many requests. Nodes
// with far fewer CPU cores than the largest one are excluded: they take several times
// as long to gather a response, and with fewer nodes each one sees more requests and
// detects slow servers sooner.
package subset

import "github.com/lagoontrail/lagoon"

// minNodes is the minimum size of a subset: one node may be stopping when another
// fails.
const minNodes = 2

// maxNodes is the maximum size of a subset.
const maxNodes = 64

// largeFraction is the minimum number of cores of a large node, relative to the
// largest node.
const largeFraction = 0.5

// Large reports whether a node with a number of cores is large compared to the
// largest node.
func Large(cores, largest float64) bool { return cores >= largeFraction*largest }

// Policy selects nodes. It has no state; the zero value is usable.
type Policy struct{}

// Select returns the nodes for a caller in a zone.
func (Policy) Select(live []lagoon.Member, zone string) []lagoon.Member {
	nodes := filter(live, func(m lagoon.Member) bool { return m.Zone() == zone })
	if len(nodes) < minNodes {
		nodes = live
	}
	maxCores := 0.0
	for _, m := range nodes {
		maxCores = max(maxCores, m.Cores())
	}
	if large := filter(nodes, func(m lagoon.Member) bool { return Large(m.Cores(), maxCores) }); len(large) >= minNodes {
		nodes = large
	}
	return nodes[:min(len(nodes), maxNodes)]
}

// filter returns the members for which keep returns true.
func filter(members []lagoon.Member, keep func(lagoon.Member) bool) []lagoon.Member {
	var out []lagoon.Member
	for _, m := range members {
		if keep(m) {
			out = append(out, m)
		}
	}
	return out
}
