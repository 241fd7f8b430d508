// Package svcs defines the control table of services.
//
// # Usage
//
//	var t rows.Table[svcs.Row]
//	t.Ensure("archive-desk").SetRule(rule)
//
// Adopting a configuration writes the rows; the publsh system reads them.
package svcs

import "github.com/lagoontrail/lagoon"

//go:generate go run ../accgen -dir . -rows

// Row is one service, keyed by its name.
type Row struct {
	service lagoon.Service // the declaration with its shard map
	rule    lagoon.Rule    // the rule in effect, with defaults for omitted values
}
