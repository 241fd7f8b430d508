// Package loads holds the columns of one server's load as a lane that plans
// legs knows it: its own legs and what owners told with their results.
//
// # Usage
//
//	l := t.Ensure("archive-1a")
//	l.SetOutstanding(l.Outstanding() + 1)
package loads

import "time"

//go:generate go run ../accgen -dir . -rows

// Row is one server, keyed by its name.
type Row struct {
	outstanding int           // legs of this lane that run or wait at the owner
	told        int           // requests at the owner when it last told
	limit       int           // the limit when the owner last told; 0 before that
	latency     time.Duration // the recent mean time of an answer; 0 before any
	heard       time.Duration // when the owner last told
}
