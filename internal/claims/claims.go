// Package claims holds the columns of one claim bucket at the node that keeps
// it.
//
// # Usage
//
//	b := t.Ensure("007")
//	b.SetWaiting(append(b.Waiting(), ask))
//
// The cached bucket is only a guess at what the platform holds; the conditional
// write decides.
package claims

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one claim bucket, keyed by its number.
type Row struct {
	number  int                // the bucket's number
	bucket  lagoon.ClaimBucket // the bucket as last read or written
	version uint64             // the object's version; 0 when absent
	known   bool               // whether bucket and version are a sound guess
	waiting []*lagoon.ClaimAsk // asks that wait for the next write
	writing bool               // whether a write is under way
	wrote   time.Duration      // when the last write began
}
