// Package svcst holds the columns of one service in a traffic lane: what the
// lane measured of it and the budgets that follow.
//
// # Usage
//
//	s := t.Ensure("archive-desk")
//	if s.Running() >= s.Limit().Allowed() { refuse() }
package svcst

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoontrail/lagoon/pkg/aimd"
	"github.com/lagoontrail/lagoon/pkg/budget"
)

//go:generate go run ../accgen -dir . -rows

// Row is one service, keyed by its name.
type Row struct {
	running int                    // queries running
	typical time.Duration          // the time within which nearly all recent legs ended; 0 before any
	rotated time.Duration          // when typical was last computed
	refused time.Duration          // when a leg was last refused for overload
	recent  *hdr.WindowedHistogram // times of recent legs, in microseconds; nil before any
	limit   aimd.Limit             // the bound on queries at once
	hedges  budget.Tokens          // the budget of hedges
	retries budget.Tokens          // the budget of retries
}

// LimitRef returns the bound on queries at once for writing.
func (v *Row) LimitRef() *aimd.Limit { return &v.limit }

// HedgesRef returns the budget of hedges for writing.
func (v *Row) HedgesRef() *budget.Tokens { return &v.hedges }

// RetriesRef returns the budget of retries for writing.
func (v *Row) RetriesRef() *budget.Tokens { return &v.retries }
