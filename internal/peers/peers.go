// Package peers defines a lane's table of owner nodes: which of them respond to
// shard requests.
//
// # Usage
//
//	p := t.Ensure("entry-3")
//	if now < p.SuspectUntil() { choose another owner }
package peers

import "time"

//go:generate go run ../accgen -dir . -rows

// Row is one owner node, keyed by its name.
type Row struct {
	respondedAt  time.Duration // when the latest shard response from the owner arrived
	suspectUntil time.Duration // until when requests avoid the owner because it does not respond
}
