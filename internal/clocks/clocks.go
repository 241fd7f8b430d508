// Package clocks implements lagoon.Clock with the system clock.
//
// # Usage
//
//	c := clocks.New()
//	now := c.Now()   // monotonic
package clocks

import "time"

// Clock is a lagoon.Clock backed by the system clock.
type Clock struct {
	start time.Time
}

// New returns a clock that starts at one second, so that 0 can mean never.
func New() *Clock { return &Clock{start: time.Now().Add(-time.Second)} }

// Now returns the monotonic time, counted from one second before New.
func (c *Clock) Now() time.Duration { return time.Since(c.start) }

// Wall returns the calendar time.
func (c *Clock) Wall() time.Time { return time.Now() }
