// Package usage holds the quota tokens that a node has for one organisation, and the
// organisation's demand at the node.
//
// # Usage
//
//	row := table.Ensure("wire")
//	row.SetDemand(perSecond)
//
// Rows are keyed by the organisation's name. The traffic loop owns them.
package usage

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Tokens is a number of tokens that expire together.
type Tokens struct {
	count int           // the number of tokens
	until time.Duration // when they expire
}

// Row is one organisation.
type Row struct {
	batches     []Tokens       // the tokens, in the order in which they expire
	demand      float64        // the moving average of requests per second
	countedAt   time.Duration  // when the average was last updated
	rate        float64        // the quota in the catalog of the last request, in requests per second
	burst       float64        // the burst in that catalog
	asked       int            // the number of tokens asked for since the last answer
	askedAt     time.Duration  // when tokens were last asked for; 0 if no answer is due
	deniedUntil time.Duration  // until when further tokens are not expected
	retryAt     time.Duration  // when the granter expects to have a token
	short       bool           // whether the row is listed among those that may need tokens
	waiting     []lagoon.RowID // the requests that wait for tokens
}
