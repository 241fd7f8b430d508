// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package ctrl_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
)

// orderTime is the duration of the orders in these tests.
const orderTime = 40 * time.Second

// always returns a share of bad responses that does not change.
func always(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// Guards against a good version that is not completed within its duration, and against requests
// to the old servers after that.
func TestGoodVersionIsCompleted(t *testing.T) {
	r := newRollout(t, 13, 20)
	r.begin(orderTime)
	start := r.f.now
	r.run(orderTime)
	if got, want := r.state(), lagoon.RolloutCompleted; got != want {
		t.Fatalf("state: got %s, want %s", got, want)
	}
	t.Logf("completed after %s; %d refused; %d of %d to the target; writes %v", r.completedAt-start, r.refused, r.target, r.total, r.writes)
	r.checkBounds(false)
	if r.refused > 0 {
		t.Errorf("refused: got %d, want none", r.refused)
	}
	if len(r.writes) > 3 {
		t.Errorf("writes: got %v, want at most 3", r.writes)
	}
}

// Guards against a bad version that stays in use, whenever it turns bad.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "later": 10 * time.Second, "in the shift": 24200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r := newRollout(t, 13, 20)
			r.begin(orderTime)
			turnsBad := r.f.now + after
			r.bad = func(now time.Duration) float64 {
				if now < turnsBad {
					return 0.01
				}
				return 0.4
			}
			r.run(orderTime)
			if got, want := r.state(), lagoon.RolloutRolledBack; got != want {
				t.Errorf("state: got %s, want %s", got, want)
			}
			t.Logf("%d of %d to the target, %d bad; last %s after the 50th bad; %d refused; writes %v", r.target, r.total, r.targetBad, r.lastTarget-r.fiftiethAt, r.refused, r.writes)
			r.checkBounds(true)
		})
	}
}

// Guards against reports, grants or orders that are lost in encoded messages.
func TestRolloutOverTheWire(t *testing.T) {
	var codec wire.Codec
	r := newRollout(t, 7, 20)
	r.f.garble = func(m lagoon.Message) lagoon.Message {
		data, err := codec.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := codec.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	r.begin(orderTime)
	r.run(orderTime)
	if got, want := r.state(), lagoon.RolloutCompleted; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	r.checkBounds(false)
}

// Guards against requests that are refused, or an order that is completed, while the hubs and
// the other nodes have an earlier release, which neither grants nor reports.
func TestNodesOfEarlierRelease(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.f.garble = func(m lagoon.Message) lagoon.Message {
		if heartbeat, ok := m.(*lagoon.Heartbeat); ok {
			heartbeat.SetRolloutReports(nil)
			heartbeat.SetRolloutGrants(nil)
		}
		return m
	}
	r.begin(orderTime)
	r.run(orderTime + 5*time.Second)
	if got, want := r.state(), lagoon.RolloutRolledBack; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	if r.refused > 0 {
		t.Errorf("refused: got %d, want none", r.refused)
	}
}

// Guards against a limit of unreported bad responses or a majority that stops a good roll-out in
// a large fleet, whose nodes have few requests each and fail now and then.
func TestGoodVersionIsCompletedInLargeFleet(t *testing.T) {
	r := newRollout(t, 61, 8)
	r.usualBad, r.bad = 0.02, always(0.02)
	r.begin(orderTime / 2)
	start := r.f.now
	r.run(orderTime / 2)
	if got, want := r.state(), lagoon.RolloutCompleted; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	t.Logf("completed after %s; %d refused; %d of %d to the target; writes %v", r.completedAt-start, r.refused, r.target, r.total, r.writes)
	r.checkBounds(false)
	if r.refused > 0 {
		t.Errorf("refused: got %d, want none", r.refused)
	}
}
