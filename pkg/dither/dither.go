// Package dither picks a share of a sequence of events evenly, by error diffusion.
//
// # Usage
//
//	c := dither.Start(rand.Float64())
//	due := c.Due(0.02)
//	c.Count(0.02, due)
package dither

// maxOwed bounds the picks that may be made up for after they were not possible.
const maxOwed = 2.0

// Counter picks events. After n events with the same share it has picked at most share * n + 1
// of them, and at most share * n if it started at 0. The zero value starts there.
type Counter struct{ owed float64 }

// Start returns a counter that starts at a point from 0 to 1. With random points, many counters
// that see few events each pick the share of all events together.
func Start(point float64) Counter { return Counter{owed: point} }

// Due reports whether the next event is to be picked.
func (c *Counter) Due(share float64) bool { return share > 0 && c.owed+share >= 1 }

// Count counts an event and whether it was picked.
func (c *Counter) Count(share float64, picked bool) {
	c.owed = min(c.owed+share, maxOwed)
	if picked {
		c.owed--
	}
}
