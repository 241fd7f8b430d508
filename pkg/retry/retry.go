// Package retry decides when to retry a request that a server refused.
//
// # Usage
//
//	var p retry.Policy
//	wait, ok := p.Retry(v)   // v is the state of the refused request
//
// A refused request did not run, so a retry is safe. The retry is immediate if there
// is a server that was not tried yet. Otherwise the servers that refused are tried
// again after an exponential delay: a full server frees a slot within a response time,
// and a server that refuses only some requests may accept the next one.
package retry

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// Limits of retries.
const (
	initialDelay   = 2 * time.Millisecond // a full server with four slots and 8 ms response time has freed a slot by then
	maxDelay       = 32 * time.Millisecond
	maxAttempts    = 7   // the delays before the seventh attempt add up to about 60 ms, the shortest objective
	jitterFraction = 0.5 // of the delay, in both directions
)

// Policy is a lagoon.RetryPolicy. It has no state; the zero value is usable.
type Policy struct{}

// Retry returns the delay before the next attempt, and false for no retry.
func (Policy) Retry(v lagoon.RetryView) (time.Duration, bool) {
	if v.Refusals() >= maxAttempts {
		return 0, false
	}
	if v.UntriedLeft() {
		return 0, true
	}
	delay := min(initialDelay<<min(max(v.Refusals()-1, 0), maxAttempts), maxDelay)
	delay = time.Duration(float64(delay) * (1 - jitterFraction + 2*jitterFraction*v.Jitter()))
	return delay, delay < v.Remaining()
}
