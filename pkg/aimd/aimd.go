// Package aimd bounds the queries of one service that run at once, by additive
// increase and multiplicative decrease.
//
// # Usage
//
//	var l aimd.Limit
//	if running >= l.Allowed() { refuse() }
//	l.Done(now, refused, running)   // when a query ends
//
// A query of which a leg was refused for overload lowers the limit, at most
// once per interval. Queries that end well while the limit is in use raise it.
package aimd

import "time"

// Bounds and steps of the limit, in queries at once.
const (
	initial  = 32.0
	smallest = 2.0
	largest  = 4096.0
	decrease = 0.85
)

// interval is the shortest time between two decreases.
const interval = 50 * time.Millisecond

// Limit is the bound of one service. The zero value starts at its initial
// bound.
type Limit struct {
	value   float64
	lowered time.Duration
}

// Allowed returns how many queries may run at once.
func (l *Limit) Allowed() int {
	if l.value == 0 {
		l.value = initial
	}
	return int(l.value)
}

// Done records the end of a query. refused says that a leg was refused for
// overload; running counts the queries that ran at once, this one included.
func (l *Limit) Done(now time.Duration, refused bool, running int) {
	allowed := l.Allowed()
	if refused {
		if now-l.lowered >= interval {
			l.lowered = now
			l.value = max(smallest, l.value*decrease)
		}
		return
	}
	if running*2 >= allowed {
		l.value = min(largest, l.value+1/l.value)
	}
}
