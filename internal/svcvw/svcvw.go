// Package svcvw holds the service rows of a view.
//
// # Usage
//
//	s, ok := v.Service("archive-desk")
//	for i := range s.Shards() { replicas := s.Groups()[s.GroupIndex()[i]] }
//
// Rows are immutable once their view is published.
package svcvw

import "github.com/lagoontrail/lagoon"

//go:generate go run ../accgen -dir . -rows

// Row is one service in a view.
type Row struct {
	name       string      // the service's name
	mapVersion uint64      // the version of the shard map
	shards     []uint32    // the shards of the map
	groupIndex []int       // the index of each shard's group in groups
	groups     [][]int     // the positions in the view of each group's servers
	rule       lagoon.Rule // the rule in force for the service
}
