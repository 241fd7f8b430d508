package clocks

import (
	"errors"
	"testing"
	"time"
)

// instance is a instance whose clocks a test moves.
type instance struct {
	monotonic time.Duration
	suspended time.Duration
	stepped   time.Duration // by how much the time of day was set ahead
	reads     int           // of the suspended time
	err       error
}

func (m *instance) newClock() *Clock {
	read := func() (time.Duration, time.Time) {
		return m.monotonic, time.Unix(1000, 0).Add(m.monotonic + m.suspended + m.stepped)
	}
	return newClock(read, func() (time.Duration, error) {
		m.reads++
		return m.suspended, m.err
	})
}

// Guards against a node that goes on using a lease or a leaving server after its instance was
// suspended, as the monotonic clock of the system does not count that time. A step of the time
// of day is no suspension.
func TestNowCountsSuspensions(t *testing.T) {
	m := &instance{monotonic: time.Hour, suspended: time.Minute}
	c := m.newClock()
	want := time.Hour
	for _, step := range []struct {
		name string
		move func()
		want time.Duration
	}{
		{"time passes", func() { m.monotonic += time.Second }, time.Second},
		{"suspended", func() { m.suspended += 5 * time.Second }, 5 * time.Second},
		{"time passes after it", func() { m.monotonic += time.Second }, time.Second},
		{"time of day set ahead", func() { m.stepped += 2 * time.Second }, 0},
		{"time of day set back", func() { m.stepped -= 20 * time.Second }, 0},
		{"suspended, then time passes", func() { m.suspended += 300 * time.Millisecond; m.monotonic += time.Second }, 1300 * time.Millisecond},
		{"suspended and time of day set back", func() { m.suspended += 3 * time.Second; m.stepped -= time.Second }, 3 * time.Second},
	} {
		step.move()
		want += step.want
		for range 2 {
			if got := c.Now(); got != want {
				t.Errorf("%s: got %s, want %s", step.name, got, want)
			}
		}
	}
	if got, want := c.Suspended(), 8300*time.Millisecond; got != want {
		t.Errorf("suspended: got %s, want %s", got, want)
	}
	reads := m.reads
	for range 100 {
		m.monotonic += time.Second
		_ = c.Now()
	}
	if got := m.reads - reads; got != 0 {
		t.Errorf("readings of the suspended time while none passes: got %d, want 0", got)
	}
}

// Without a clock that counts suspensions, Now is the monotonic time.
func TestNowWithoutSuspensionClock(t *testing.T) {
	m := &instance{err: errors.New("not supported")}
	c := m.newClock()
	m.monotonic, m.suspended = 3*time.Second, time.Minute
	if got, want := c.Now(), 3*time.Second; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// The system's clocks never make Now fall, and a instance that runs is not suspended.
func TestNowOfSystem(t *testing.T) {
	c, start := New(), time.Now()
	last := time.Duration(0)
	for time.Since(start) < 50*time.Millisecond {
		now := c.Now()
		if now < last {
			t.Fatalf("got %s after %s, want no earlier time", now, last)
		}
		last = now
	}
	last = c.Now() // the loop's last reading may be older than its last check of the time
	if got, want := last, time.Second+50*time.Millisecond; got < want || got > want+10*time.Second {
		t.Errorf("got %s after 50 ms, want about %s", got, want)
	}
}
