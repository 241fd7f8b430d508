// Package tokens holds the retry budget of one service, which bounds the
// attempts beyond the first: retries and hedges.
//
// # Usage
//
//	row := table.Ensure("archive-desk-3")
//	if row.TokensRef().Take() { retry() }
package tokens

import (
	"time"

	"github.com/lagoontrail/lagoon/pkg/budget"
)

//go:generate go run ../../accgen -dir . -rows

// Row is the retry budget of one service.
type Row struct {
	burst        float64       // the largest number of tokens that may accumulate
	retriedAt    time.Duration // when an attempt was last refused or its response lost
	refusedShare float64       // the moving average of the share of attempts that were refused
	refilledAt   time.Duration // the time of the last refill
	perSecond    float64       // the moving average of the tokens added in a second, as of the last refill

	tokens budget.Tokens
}

// TokensRef returns the token bucket, to be modified in place.
func (r *Row) TokensRef() *budget.Tokens { return &r.tokens }
