// Package server holds the columns of one announced server in the control
// tables.
//
// # Usage
//
//	row := table.Ensure("i-7f3a91c2")
//	row.SetReplica(replica)
package server

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one announced server.
type Row struct {
	replica       lagoon.Replica // the announcement
	announcedAt   time.Duration  // when the announcement was received
	unannouncedAt time.Duration  // when the announcement was removed; 0 while it exists
	drainingAt    time.Duration  // when the server was first announced as draining; 0 while it is not
	usableUntil   time.Duration  // until when a server that is draining or not announced may get requests; 0 for any other
}
