// Package claims defines the table of claim buckets at the node that writes them.
//
// # Usage
//
//	b := t.Ensure("007")
//	b.SetPending(append(b.Pending(), request))
//
// The cached bucket may be out of date; the platform's conditional write detects
// that.
package claims

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one claim bucket, keyed by its number.
type Row struct {
	number         int                    // the bucket's number
	bucket         lagoon.ClaimBucket     // the bucket as last read or written
	version        uint64                 // the object version of the bucket; 0 when absent
	cached         bool                   // whether bucket and version hold the result of the last read or write
	pending        []*lagoon.ClaimRequest // claim requests waiting for the next write
	writing        bool                   // whether a write is in progress
	writeStartedAt time.Duration          // when the last write started
}
