// Package bucket holds the token bucket of one organisation at its granter.
//
// # Usage
//
//	row := table.Ensure("wire")
//	row.TokensRef().Refill(clock, rate, limit)
//
// Rows are keyed by the organisation's name.
package bucket

import "github.com/lagoontrail/lagoon/pkg/quota"

//go:generate go run ../../accgen -dir . -rows

// Row is the bucket of one organisation.
type Row struct {
	rate  float64 // the tokens per second of the last refill, at a weight of 1
	burst float64 // the limit of the last refill, at a weight of 1

	tokens quota.Bucket
}

// TokensRef returns the tokens.
func (r *Row) TokensRef() *quota.Bucket { return &r.tokens }
