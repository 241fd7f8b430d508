// Package told holds the answer of the registry to one call of control.
//
// # Usage
//
//	t := told.Told{}
//	t.SetTopic(lagoon.TopicCatalog)
package told

import "github.com/lagoontrail/lagoon"

//go:generate go run ../../accgen -dir . -rows

// Told is one answer.
type Told struct {
	topic lagoon.Topic // the topic
	news  lagoon.News  // the answer
	err   error        // the failure, if it failed
}
