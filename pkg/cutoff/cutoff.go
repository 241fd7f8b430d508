// Package cutoff decides when to respond without the shards that have not responded.
//
// # Usage
//
//	var p cutoff.Policy
//	now, wait := p.Respond(v)
//
// The policy waits for missing shards until shortly before the latency objective.
// Afterwards the response is sent as soon as it covers enough shards.
package cutoff

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// responseMargin is the time before the objective at which a partial response is
// sent. It covers network latency, up to 3 ms each way for distant callers, and
// scheduling delays.
const responseMargin = 13 * time.Millisecond

// Policy is a lagoon.PartialPolicy. It has no state; the zero value is usable.
type Policy struct{}

// Respond reports whether to respond now with the covered shards, and otherwise
// returns the time until then.
func (Policy) Respond(v lagoon.PartialView) (bool, time.Duration) {
	wait := v.Objective() - responseMargin - v.Elapsed()
	if wait <= 0 {
		return true, 0
	}
	return false, wait
}
