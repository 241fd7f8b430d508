// Package tally counts the responses of both versions in the open roll-outs. Traffic counts,
// and control reads the counts for its heartbeats.
//
// # Usage
//
//	var t tally.Tally
//	t.Begin("desk", order)                         // traffic, with each new order
//	t.Sent("desk", target)                         // traffic
//	t.Ended("desk", "browse", target, answered, bad)
//	counts := t.Read("desk")                       // control
package tally

import (
	"slices"
	"sync"

	"github.com/lagoontrail/lagoon"
)

// maxRoutes bounds the routes that are counted for a service. Further ones are counted
// together under the empty name, so that a report stays small.
const maxRoutes = 32

// Tally holds the counts of one node. The zero value is ready to use by any goroutine.
type Tally struct {
	mu       sync.Mutex
	services map[string]*Counts
}

// Counts are the counts of one service.
type Counts struct {
	order       uint64                 // the revision at which the order was opened
	routes      []lagoon.RolloutCounts // the responses by route
	targetBad   uint64                 // the bad responses of the target version
	oldInflight int                    // the attempts in flight at old servers
	shiftSeen   bool                   // whether traffic uses a view with the shift
}

// TargetBad returns the number of bad responses of the target version.
func (c Counts) TargetBad() uint64 { return c.targetBad }

// Routes returns the responses by route.
func (c Counts) Routes() []lagoon.RolloutCounts { return c.routes }

// Switched reports whether traffic uses a view in which all attempts go to the target, and no
// attempt at an old server is in flight.
func (c Counts) Switched() bool { return c.shiftSeen && c.oldInflight == 0 }

// Begin starts to count for an order, unless it has been counted for already. shift says
// whether the view in use sends all attempts to the target version. Attempts in flight at old
// servers are counted on.
func (t *Tally) Begin(service string, order uint64, shift bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.services[service]
	if !ok {
		if t.services == nil {
			t.services = map[string]*Counts{}
		}
		c = &Counts{}
		t.services[service] = c
	}
	if c.order != order {
		*c = Counts{order: order, oldInflight: c.oldInflight}
	}
	c.shiftSeen = shift
}

// Sent counts an attempt that was started at a server of the target or of an old version.
func (t *Tally) Sent(service string, target bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.services[service]; ok && !target {
		c.oldInflight++
	}
}

// Ended counts the end of an attempt. answered says whether it counts as a response.
func (t *Tally) Ended(service, route string, target, answered, bad bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.services[service]
	if !ok {
		return
	}
	if !target {
		c.oldInflight = max(0, c.oldInflight-1)
	}
	if answered {
		c.add(route, target, bad)
	}
}

func (c *Counts) add(route string, target, bad bool) {
	r := c.route(route)
	switch {
	case target:
		r.SetTarget(r.Target() + 1)
	default:
		r.SetOld(r.Old() + 1)
	}
	switch {
	case bad && target:
		r.SetTargetBad(r.TargetBad() + 1)
		c.targetBad++
	case bad:
		r.SetOldBad(r.OldBad() + 1)
	}
}

// route returns the counts of a route.
func (c *Counts) route(name string) *lagoon.RolloutCounts {
	named := func(r lagoon.RolloutCounts) bool { return r.Route() == name }
	i := slices.IndexFunc(c.routes, named)
	if i < 0 && len(c.routes) >= maxRoutes {
		name = ""
		i = slices.IndexFunc(c.routes, named)
	}
	if i >= 0 {
		return &c.routes[i]
	}
	var r lagoon.RolloutCounts
	r.SetRoute(name)
	c.routes = append(c.routes, r)
	return &c.routes[len(c.routes)-1]
}

// TargetBad returns the number of bad responses of a service's target version.
func (t *Tally) TargetBad(service string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.services[service]; ok {
		return c.targetBad
	}
	return 0
}

// Read returns a copy of the counts of a service for an order, or the zero value if traffic
// has not begun to count for it.
func (t *Tally) Read(service string, order uint64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.services[service]
	if !ok || c.order != order {
		return Counts{}
	}
	copied := *c
	copied.routes = append([]lagoon.RolloutCounts(nil), c.routes...)
	return copied
}
