// Package quota provides a token bucket that has neither a clock nor a lock.
//
// # Usage
//
//	var b quota.Bucket
//	b.Refill(seconds, rate, limit)
//	n := b.Take(wanted)
//
// The caller supplies a clock in seconds that may run slower than time, for example at the
// share of a quota that it may spend. Buckets of one clock are refilled lazily, when they are
// used.
package quota

import "math"

// Bucket is a token bucket. The zero value is empty, and was last refilled at 0.
type Bucket struct {
	tokens   float64
	filledAt float64
}

// Refill adds the tokens of a rate per second since the last refill, up to a limit. A clock that
// went back adds none.
func (b *Bucket) Refill(clock, rate, limit float64) {
	b.tokens = min(b.tokens+rate*max(clock-b.filledAt, 0), limit)
	b.filledAt = clock
}

// Skip makes the bucket forget the time before a reading of the clock.
func (b *Bucket) Skip(clock float64) { b.filledAt = max(b.filledAt, clock) }

// Take removes up to a number of whole tokens and returns how many it removed.
func (b *Bucket) Take(wanted int) int {
	n := int(min(math.Floor(b.tokens), float64(wanted)))
	if n <= 0 {
		return 0
	}
	b.tokens -= float64(n)
	return n
}

// Add adds tokens beyond the rate and the limit.
func (b *Bucket) Add(tokens float64) { b.tokens += tokens }

// Tokens returns the number of tokens, which may have a fraction.
func (b *Bucket) Tokens() float64 { return b.tokens }
