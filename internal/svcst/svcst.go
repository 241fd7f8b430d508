// Package svcst defines a traffic lane's table of services: measured latencies,
// the concurrency limit, and the budgets for hedged requests and retries.
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
	running        int                    // the number of running queries
	typicalLatency time.Duration          // the duration within which nearly all recent shard requests completed; 0 before any
	typicalAt      time.Duration          // when the typical latency was last computed
	refusedAt      time.Duration          // when a shard request was last refused for overload
	latencies      *hdr.WindowedHistogram // the durations of recent shard requests, in microseconds; nil before any
	limit          aimd.Limit             // the limit on concurrent queries
	hedgeBudget    budget.Tokens          // the budget of hedged requests
	retryBudget    budget.Tokens          // the budget of retries
}

// LimitRef returns the limit on concurrent queries for modification.
func (v *Row) LimitRef() *aimd.Limit { return &v.limit }

// HedgeBudgetRef returns the budget of hedged requests for modification.
func (v *Row) HedgeBudgetRef() *budget.Tokens { return &v.hedgeBudget }

// RetryBudgetRef returns the budget of retries for modification.
func (v *Row) RetryBudgetRef() *budget.Tokens { return &v.retryBudget }
