// Package aimd limits the concurrent queries of one service, by additive increase
// and multiplicative decrease (AIMD).
//
// # Usage
//
//	var l aimd.Limit
//	if running >= l.Allowed() { refuse() }
//	l.Done(now, refused, running)   // at the end of a query
//
// A query with a shard request that was refused for overload decreases the limit,
// at most once per interval. Other queries increase it if at least half of the limit
// is in use.
package aimd

import "time"

// The limit, in concurrent queries.
const (
	initialLimit = 32.0
	minLimit     = 2.0
	maxLimit     = 4096.0

	decreaseFactor = 0.85 // applied by one decrease
)

// minDecreaseInterval is the minimum time between two decreases.
const minDecreaseInterval = 50 * time.Millisecond

// Limit is the limit of one service. The zero value has the initial limit.
type Limit struct {
	value         float64
	lastDecreased time.Duration
}

// Allowed returns the maximum number of concurrent queries.
func (l *Limit) Allowed() int {
	if l.value == 0 {
		l.value = initialLimit
	}
	return int(l.value)
}

// Done records the end of a query. refused reports whether a shard request was
// refused for overload. running is the number of queries in progress, including
// this one.
func (l *Limit) Done(now time.Duration, refused bool, running int) {
	allowed := l.Allowed()
	if refused {
		if now-l.lastDecreased >= minDecreaseInterval {
			l.lastDecreased = now
			l.value = max(minLimit, l.value*decreaseFactor)
		}
		return
	}
	if running*2 >= allowed {
		l.value = min(maxLimit, l.value+1/l.value)
	}
}
