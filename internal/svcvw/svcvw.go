// Package svcvw holds what a traffic lane sees of one service.
//
// # Usage
//
//	s, ok := v.Service("archive-desk")
//	for i := range s.Shards() { replicas := s.Groups()[s.GroupOf()[i]] }
//
// Rows are written while a view is built and never after.
package svcvw

import "github.com/lagoontrail/lagoon"

//go:generate go run ../accgen -dir . -rows

// Row is one service in a view.
type Row struct {
	name       string      // the service's name
	mapVersion uint64      // the shard map's version
	shards     []uint32    // the shards of the map
	groupOf    []int       // for each shard, the position of its group
	groups     [][]int     // for each group, the positions of its servers in the view
	rule       lagoon.Rule // the rule that applies
}
