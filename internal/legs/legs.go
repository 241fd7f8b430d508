// Package legs holds the columns of one leg, a request to one server on behalf
// of one query, at the node that planned it.
//
// # Usage
//
//	id, l := t.Add("")
//	l.SetServer("archive-1a")
package legs

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one leg.
type Row struct {
	query     lagoon.RowID  // the query
	shard     int           // the position of the shard in the query
	server    string        // the server's name
	owner     string        // the owning node's name
	ownerAddr string        // the owning node's address; empty for this node
	sent      time.Duration // when the leg was handed to the owner
	hedge     bool          // whether it repeats a leg that is still running
	ended     bool          // whether its outcome is known
}
