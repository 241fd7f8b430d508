// Package clocks provides the clock of a process.
//
// # Usage
//
//	c := clocks.New()
//	now := c.Now()   // time since New, monotonic
package clocks

import "time"

// Clock is a lagoon.Clock on the machine's monotonic clock.
type Clock struct {
	start time.Time
}

// New returns a clock that starts near zero. Its first second is skipped, so
// that 0 can mean never.
func New() *Clock { return &Clock{start: time.Now().Add(-time.Second)} }

// Now returns the monotonic time since one second before New.
func (c *Clock) Now() time.Duration { return time.Since(c.start) }

// Wall returns the calendar time.
func (c *Clock) Wall() time.Time { return time.Now() }
