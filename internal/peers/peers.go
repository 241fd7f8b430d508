// Package peers holds the columns of one owner as a lane that plans legs knows
// it.
//
// # Usage
//
//	p := t.Ensure("entry-3")
//	if now < p.SuspectUntil() { choose another }
package peers

import "time"

//go:generate go run ../accgen -dir . -rows

// Row is one owner, keyed by the node's name.
type Row struct {
	answered     time.Duration // when the latest outcome of a leg came from it
	suspectUntil time.Duration // until when legs go elsewhere because it answers nothing
}
