// Package clocks implements lagoon.Clock with the system clock.
//
// # Usage
//
//	c := clocks.New()
//	now := c.Now()   // monotonic
//
// The operating system's monotonic clock stands still while the instance is suspended, so that
// a lease or a drain time would last longer for this node than for all others. Now counts
// that time as well. It looks for a suspension only when the time of day has moved by another
// amount than the monotonic clock, so that usually it makes no system call.
package clocks

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxDrift is the difference between the changes of the time of day and of the monotonic
// clock up to which the instance cannot have been suspended for a time that matters.
const maxDrift = 10 * time.Millisecond

// clockReadings is the number of times that both clocks are read for one difference.
const clockReadings = 3

// Clock is a lagoon.Clock backed by the system clock. Create it with New.
type Clock struct {
	read      func() (monotonic time.Duration, wall time.Time)
	asleep    func() (time.Duration, error) // returns for how long the instance has been suspended in all
	startWall time.Time
	atStart   time.Duration // what asleep returned in New
	offset    atomic.Int64  // by how much the time of day has moved ahead of the monotonic clock since New, in ns
	suspended atomic.Int64  // for how long the instance was suspended since New, in ns
}

// New returns a clock that starts at one second, so that 0 can mean never.
func New() *Clock {
	start := time.Now().Add(-time.Second)
	return newClock(func() (time.Duration, time.Time) {
		t := time.Now()
		return t.Sub(start), t.Round(0)
	}, timeAsleep)
}

func newClock(read func() (time.Duration, time.Time), asleep func() (time.Duration, error)) *Clock {
	c := &Clock{read: read, asleep: asleep}
	monotonic, wall := read()
	c.startWall = wall.Add(-monotonic)
	if d, err := asleep(); err == nil { // without this clock, Now is the monotonic time
		c.atStart = d
	}
	return c
}

// Now returns the time since one second before New, which includes the time for which the
// instance was suspended.
func (c *Clock) Now() time.Duration {
	monotonic, wall := c.read()
	offset := wall.Sub(c.startWall) - monotonic
	if drift := offset - time.Duration(c.offset.Load()); drift > maxDrift || drift < -maxDrift {
		c.offset.Store(int64(offset))
		c.updateSuspended()
	}
	return monotonic + c.Suspended()
}

// Suspended returns for how long the instance was suspended since New, as far as Now has noticed.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// updateSuspended reads for how long the instance was suspended. The result never falls.
func (c *Clock) updateSuspended() {
	d, err := c.asleep()
	if err != nil {
		return // as in newClock
	}
	for {
		old := c.suspended.Load()
		if int64(d-c.atStart) <= old || c.suspended.CompareAndSwap(old, int64(d-c.atStart)) {
			return
		}
	}
}

// Wall returns the calendar time.
func (c *Clock) Wall() time.Time {
	_, wall := c.read()
	return wall
}

// timeAsleep returns the difference between the clock that includes suspensions and the one
// that does not. A delay between the two readings makes a difference smaller, so that the
// largest of several is the most accurate one.
func timeAsleep() (time.Duration, error) {
	var asleep time.Duration
	for range clockReadings {
		var boot, monotonic unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
			return 0, errors.Wrap(err, "read the time since the instance started")
		}
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
			return 0, errors.Wrap(err, "read the monotonic time")
		}
		asleep = max(asleep, time.Duration(boot.Nano()-monotonic.Nano()))
	}
	return asleep, nil
}
