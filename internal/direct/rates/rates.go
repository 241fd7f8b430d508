// Package rates holds what a flow knows of the times of one route's attempts.
//
// # Usage
//
//	r := t.Ensure("look-browse")
//	r.DelaysRef().Record(took, now)
package rates

import (
	"time"

	"github.com/lagoontrail/lagoon/pkg/recent"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one route.
type Row struct {
	typical time.Duration // the mean time of an attempt
	longest time.Duration // the longest time that a caller of the route ever waited
	turn    float64       // the sum of turns, by which targets share the requests

	delays recent.Delays
}

// DelaysRef returns the recent times, to be changed in place.
func (r *Row) DelaysRef() *recent.Delays { return &r.delays }
