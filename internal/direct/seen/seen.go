// Package seen holds the columns of one announced server in control's tables.
//
// # Usage
//
//	r := t.Ensure("i-7f3a91c2")
//	r.SetReplica(replica)
package seen

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one announced server.
type Row struct {
	replica   lagoon.Replica // the announcement
	heard     time.Duration  // when it was heard
	goneAt    time.Duration  // when its announcement went; 0 while it is there
	leavingAt time.Duration  // when it was heard to be leaving; 0 while it is not
}
