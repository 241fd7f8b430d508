// Package fetch holds the result of one registry call made by control.
//
// # Usage
//
//	result := fetch.Result{}
//	result.SetTopic(lagoon.TopicCatalog)
package fetch

import "github.com/lagoontrail/lagoon"

//go:generate go run ../../accgen -dir . -rows

// Result is the result of one registry call, as posted to control.
type Result struct {
	topic  lagoon.Topic          // the topic that was read
	update lagoon.RegistryUpdate // the registry's response
	err    error                 // the error of a failed call
}
