// Package hedge decides when to send a second copy of a running request to another
// replica.
//
// # Usage
//
//	var p hedge.Policy
//	now, wait := p.Hedge(v)   // v is the state of the request and its service
//
// A request is hedged when it has run longer than nearly all recent requests, if the
// hedge budget (package budget) has tokens and the service's servers are not refusing
// requests. A second hedge for the same shard is sent after twice that time. There is
// no third hedge.
package hedge

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// minDelay is the minimum time before a request is hedged.
const minDelay = 2 * time.Millisecond

// blockedDelay is the time until the next decision while the budget is empty or
// servers refuse requests. It is a few response times long, because frequent decisions
// use much CPU time when many requests are waiting.
const blockedDelay = 10 * time.Millisecond

// retryDelay is the time until the next decision when no server was available for a
// hedge.
const retryDelay = 4 * time.Millisecond

// maxAttempts is the maximum number of requests for one shard, including hedges. The
// lanes count every request sent, the direct path only those in flight.
const maxAttempts = 3

// Policy is a lagoon.HedgePolicy. It has no state; the zero value is usable.
type Policy struct{}

// Hedge reports whether to send a hedge now, and returns the time until the next
// decision; 0 means that there is none.
func (Policy) Hedge(v lagoon.HedgeView) (bool, time.Duration) {
	if v.Attempts() >= maxAttempts {
		return false, 0
	}
	delay := max(minDelay, v.TypicalLatency()) << (v.Attempts() - 1)
	if v.Elapsed() < delay {
		return false, delay - v.Elapsed()
	}
	if v.Remaining() < minDelay {
		return false, 0
	}
	if v.Overloaded() || v.Tokens() < 1 {
		return false, blockedDelay
	}
	return true, retryDelay
}
