// Package topics holds the columns of one registry topic in the control tables.
//
// # Usage
//
//	row := table.Ensure(lagoon.TopicReplicas.String())
//	row.SetRevision(update.Revision())
package topics

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one topic.
type Row struct {
	topic            lagoon.Topic  // the topic
	revision         uint64        // the registry revision up to which changes were received
	lastChange       uint64        // the registry revision of the last change received
	synced           bool          // whether the whole topic has been received once
	calling          bool          // whether a registry call is in progress
	confirmedAt      time.Duration // when the registry, directly or through a hub, last confirmed that no change is missing
	unconfirmedSince time.Duration // when a hub pushed the topic to this starting node, until its age is known; 0 if it is known
	provenAt         time.Duration // when it did so last before it was restored from a copy; 0 if it was not
	probe            bool          // whether the call in progress probes a registry that was unreachable
	gap              bool          // whether an update is missing, so that the registry is called unless a hub pushes it soon
	gapRevision      uint64        // the registry revision up to which updates are missing while gap is set
	historyGone      bool          // whether the changes since the revision are not available, so that the whole topic is to be read
	historyGoneAt    time.Duration // when that was last found out
	retryAt          time.Duration // when the registry may be called again
	failures         int           // the number of consecutive failed calls
}
