// Package usual holds how long the old versions of a service take to respond on one route.
//
// # Usage
//
//	row := table.Ensure(usual.Key("desk", "browse"))
//	row.LatenciesRef().Record(elapsed, now)
//
// The traffic loop owns the rows.
package usual

import (
	"strings"

	"github.com/lagoontrail/lagoon/pkg/window"
)

// Row is one service on one route.
type Row struct{ latencies window.Window }

// LatenciesRef returns the recent response times of the old versions, to be modified in place.
func (r *Row) LatenciesRef() *window.Window { return &r.latencies }

// ServiceOf returns the service of a key.
func ServiceOf(key string) string {
	service, _, _ := strings.Cut(key, "\x00")
	return service
}

// Key returns the key of a service on a route.
func Key(service, route string) string { return service + "\x00" + route }
