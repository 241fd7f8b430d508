// Package split holds the columns of one service whose attempts are split between two versions.
//
// # Usage
//
//	row := table.Ensure("desk")
//	due := row.CounterRef().Due(share)
//
// The traffic loop owns the rows.
package split

import "github.com/lagoontrail/lagoon/pkg/dither"

//go:generate go run ../../accgen -dir . -rows

// Row is one service.
type Row struct {
	order uint64 // the revision at which the order was opened

	counter dither.Counter
}

// CounterRef returns the counter that picks the attempts for the target version, to be modified
// in place.
func (r *Row) CounterRef() *dither.Counter { return &r.counter }
