// Package feeds holds the columns of one topic of the registry in control's
// tables.
//
// # Usage
//
//	f := t.Ensure(lagoon.TopicReplicas.String())
//	f.SetRevision(news.Revision())
package feeds

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one topic.
type Row struct {
	topic     lagoon.Topic  // the topic
	revision  uint64        // the registry's revision up to which it is known
	changed   uint64        // the registry's revision from which on nothing changed up to there
	listed    bool          // whether all of it was read once
	calling   bool          // whether a call to the registry is under way
	confirmed time.Duration // when the registry, or a hub on its behalf, last confirmed what is known
	probe     bool          // whether that call finds out whether the registry answers again
	check     bool          // whether something was missed, so that the registry is asked at once
	retryAt   time.Duration // when the registry may be asked again
	failures  int           // failed calls in a row
}
