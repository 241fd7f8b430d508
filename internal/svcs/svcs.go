// Package svcs holds the columns of one service in the control tables.
//
// # Usage
//
//	var t rows.Table[svcs.Row]
//	t.Ensure("archive-desk").SetRule(rule)
//
// The config system writes the rows; the publish system reads them.
package svcs

import "github.com/lagoontrail/lagoon"

//go:generate go run ../accgen -dir . -rows

// Row is one service with the rule that applies to it, keyed by its name.
type Row struct {
	service lagoon.Service // the declaration with its shard map
	rule    lagoon.Rule    // the rule, or the default one
}
