// Package limits holds the limits that servers named for all nodes together.
//
// # Usage
//
//	row, changed := limits.Merge(table, statement, now)
//
// Rows are keyed by server ID. Control and traffic each have such a table.
package limits

import (
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/rows"
	"github.com/lagoontrail/lagoon/pkg/pacer"
)

//go:generate go run ../../accgen -dir . -rows

// maxRows is the number of rows above which the one that was stated first is forgotten.
const maxRows = 8192

// minChange is the relative change of a limit of which the other nodes are told. A server may
// name a slightly different limit in each response.
const minChange = 0.05

// Row is the last statement of a server on its limit.
type Row struct {
	startedMilli int64         // the start time of the run that made it, in Unix milliseconds
	limited      bool          // whether the server has a limit
	perSecond    float64       // the limit for all nodes together, in requests per second
	statedAt     time.Duration // when the response with the statement was read, by this node or another one
	changedAt    time.Duration // when this node learned of the last change that others are told of

	pacer pacer.Pacer
}

// PacerRef returns what spaces this node's requests to the server, in the table of traffic.
func (r *Row) PacerRef() *pacer.Pacer { return &r.pacer }

// Merge applies a statement that was made at a time, unless the table has a newer one. It reports
// whether others are to be told of the change. A statement of no limit adds no row.
func Merge(table *rows.Table[Row], s lagoon.ServerLimit, at, now time.Duration) (row *Row, changed bool) {
	row, known := table.Find(s.Server())
	switch {
	case known && (s.StartedMilli() < row.startedMilli || (s.StartedMilli() == row.startedMilli && at < row.statedAt)):
		return row, false
	case !known && !s.Limited():
		return nil, false
	case !known:
		if table.Len() >= maxRows {
			forgetFirst(table)
		}
		row = table.Ensure(s.Server())
	}
	changed = row.limited != s.Limited() || (s.Limited() && math.Abs(s.PerSecond()-row.perSecond) > minChange*row.perSecond)
	row.startedMilli, row.limited, row.perSecond, row.statedAt = s.StartedMilli(), s.Limited(), s.PerSecond(), at
	if changed {
		row.changedAt = now
	}
	return row, changed
}

// forgetFirst removes the statement that was made first.
func forgetFirst(table *rows.Table[Row]) {
	first, at := "", time.Duration(math.MaxInt64)
	for i := range table.Len() {
		if stated := table.At(i).statedAt; stated < at {
			first, at = table.Key(i), stated
		}
	}
	table.RemoveKey(first)
}
