// Package shreqs holds the columns of one shard request: a request of a query for
// one shard, at the node that serves the query.
//
// # Usage
//
//	id, r := t.Add("")
//	r.SetServer("archive-1a")
package shreqs

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../accgen -dir . -rows

// Row is one shard request.
type Row struct {
	query      lagoon.RowID  // the query
	shardIndex int           // the index of the shard in the query
	server     string        // the server's name
	owner      string        // the owning node's name
	ownerAddr  string        // the owning node's address; empty for this node
	sentAt     time.Duration // the time at which the request was sent to the owner
	hedge      bool          // whether the request is a hedge of one that is still running
	ended      bool          // whether the response has arrived
}
