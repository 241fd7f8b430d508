// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// killHubs ends all nodes that are hubs.
func (r *rollouts) killHubs() {
	for _, n := range r.f.nodes {
		n.down = n.down || n.control.Hub()
	}
}

// Guards against nodes that go on sending to a bad version because nobody tells them to stop: the
// decider or all hubs die at the 10th bad response or a little later, with or without the
// registry. The version was good before. Each node stops by itself after a bad response that it
// has not reported, so the 50th may never come. New hubs may then need some more responses, but
// never 50 in all.
func TestHubsDieWhenVersionTurnsBad(t *testing.T) {
	for _, registryDown := range []bool{false, true} {
		for _, all := range []bool{false, true} {
			for i := range 8 {
				delay, before := time.Duration(i%4)*400*time.Millisecond, 10*time.Second
				if i >= 4 {
					before = 24200 * time.Millisecond // in the shift
				}
				t.Run(fmt.Sprintf("all hubs %t, registry down %t, bad after %s, %s later", all, registryDown, before, delay), func(t *testing.T) {
					r := newRollout(t, 13, 60)
					r.begin(orderTime)
					r.run(before)
					r.bad = always(1)
					r.targetBad = 0 // counted from the change on
					for end := r.f.now + 5*time.Second; r.targetBad < 10 && r.f.now < end; {
						r.run(tickStep)
					}
					r.run(delay)
					r.f.registryDown = registryDown
					if n := r.decider(); n != nil && !all {
						n.down = true
					} else {
						r.killHubs()
					}
					failedAt := r.f.now
					r.run(12 * time.Second)
					r.f.registryDown = false
					r.run(20 * time.Second)
					r.checkBounds(true)
					if r.lastTarget > failedAt+rollbackLimit && r.targetBad >= fiftieth {
						t.Errorf("last request to a bad version: got %s after the failure with %d bad responses, want at most %s or fewer than %d", r.lastTarget-failedAt, r.targetBad, rollbackLimit, fiftieth)
					}
					if got, want := r.state(), lagoon.RolloutRolledBack; got != want {
						t.Errorf("state: got %s, want %s", got, want)
					}
				})
			}
		}
	}
}

// Guards against a roll-out that stops for good when the decider dies, or that then uses the old
// version after completion. It dies at any phase.
func TestDeciderDies(t *testing.T) {
	for at := time.Second; at < 27*time.Second; at += 1700 * time.Millisecond {
		r := newRollout(t, 13, 20)
		r.begin(orderTime)
		r.run(at)
		if n := r.decider(); n != nil {
			n.down = true
		}
		r.run(orderTime + 10*time.Second - at)
		r.checkBounds(false)
		if got, want := r.state(), lagoon.RolloutCompleted; got != want {
			t.Errorf("decider dead after %s: state: got %s, want %s", at, got, want)
		}
		if r.refused > r.total/100 {
			t.Errorf("decider dead after %s: got %d of %d requests refused, want at most 1 %%", at, r.refused, r.total)
		}
	}
}

// Guards against a cut-off node, or a sixth of the nodes that still hear each other, that go on
// sending to the target, or to the old version after completion.
func TestCutOffNodes(t *testing.T) {
	for _, size := range []int{1, 4} {
		for _, bad := range []bool{false, true} {
			for at := 500 * time.Millisecond; at < 26*time.Second; at += 4 * time.Second {
				t.Run(fmt.Sprintf("%d nodes, bad %t, after %s", size, bad, at), func(t *testing.T) {
					r := newRollout(t, 25, 20)
					r.begin(orderTime)
					r.run(at)
					cut := map[*node]bool{}
					for _, n := range r.f.nodes[len(r.f.nodes)-size:] {
						cut[n] = true
						n.registryCutOff = true
					}
					r.f.dropMessage = func(from, to *node) bool { return cut[from] != cut[to] }
					if bad {
						r.bad = always(0.5)
					}
					r.run(orderTime + 5*time.Second - at)
					r.checkBounds(bad)
					want := lagoon.RolloutCompleted
					if bad {
						want = lagoon.RolloutRolledBack
					}
					if got := r.state(); got != want {
						t.Errorf("state: got %s, want %s; writes %v", got, want, r.writes)
					}
				})
			}
		}
	}
}

// Guards against two deciders that contradict each other: the hubs do not hear each other, while
// all others hear both.
func TestTwoDeciders(t *testing.T) {
	for _, bad := range []bool{false, true} {
		r := newRollout(t, 13, 20)
		r.begin(orderTime)
		r.run(3 * time.Second)
		first := r.decider()
		r.f.dropMessage = func(from, to *node) bool {
			return (from == first) != (to == first) && from.control.Hub() && to.control.Hub()
		}
		r.run(5 * time.Second)
		deciders := 0
		for _, n := range r.f.nodes {
			if row, ok := n.control.Orders().Find("desk"); ok && row.Deciding() {
				deciders++
			}
		}
		if deciders < 2 {
			t.Fatalf("deciders: got %d, want 2", deciders)
		}
		want := lagoon.RolloutCompleted
		if bad {
			r.bad = always(0.5)
			want = lagoon.RolloutRolledBack
		}
		r.run(orderTime)
		if got := r.state(); got != want {
			t.Errorf("state: got %s, want %s", got, want)
		}
		if len(r.writes) != 2 {
			t.Errorf("writes: got %v, want running and the outcome once each", r.writes)
		}
		r.checkBounds(bad)
	}
}

// Guards against a decider that was paused, wakes and acts on what it knew.
func TestPausedDeciderWakes(t *testing.T) {
	for _, bad := range []bool{false, true} {
		for at := 22 * time.Second; at < 27*time.Second; at += 400 * time.Millisecond {
			r := newRollout(t, 13, 20)
			r.begin(orderTime)
			r.run(at)
			n := r.decider()
			if n == nil || r.state().Closed() {
				continue // the order has ended
			}
			r.paused[n] = true
			if bad {
				r.bad = always(0.5)
			}
			r.run(6 * time.Second)
			delete(r.paused, n)
			r.run(orderTime - at)
			want := lagoon.RolloutCompleted
			if bad {
				want = lagoon.RolloutRolledBack
			}
			if got := r.state(); got != want {
				t.Errorf("paused after %s, bad %t: state: got %s, want %s", at, bad, got, want)
			}
			r.checkBounds(false)
		}
	}
}

// Guards against a status write that is lost, whose reply is lost, or that arrives late and
// changes what another decider has written.
func TestStatusWrites(t *testing.T) {
	for name, set := range map[string]func(r *rollouts){
		"request lost": func(r *rollouts) {
			lost := 0
			r.lose = func() (bool, bool) { lost++; return lost%3 != 0, false }
		},
		"reply lost": func(r *rollouts) { r.lose = func() (bool, bool) { return false, true } },
		"late": func(r *rollouts) {
			r.delay = func(*node) time.Duration { return 900 * time.Millisecond }
		},
		"too late at the first decider": func(r *rollouts) {
			first := r.decider()
			r.delay = func(n *node) time.Duration {
				if n == first {
					return 3 * time.Second
				}
				return 0
			}
		},
	} {
		for _, bad := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, bad %t", name, bad), func(t *testing.T) {
				r := newRollout(t, 13, 20)
				r.begin(orderTime)
				r.run(2 * time.Second)
				set(r)
				want := lagoon.RolloutCompleted
				if bad {
					r.bad = always(0.5)
					want = lagoon.RolloutRolledBack
				}
				if name == "too late at the first decider" {
					r.run(20 * time.Second)
					if n := r.decider(); n != nil {
						n.down = true // before it can write
					}
				}
				r.run(orderTime)
				if got := r.state(); got != want {
					t.Errorf("state: got %s, want %s; writes %v", got, want, r.writes)
				}
				if len(r.writes) > 3 {
					t.Errorf("writes: got %v, want a few", r.writes)
				}
				r.checkBounds(bad)
			})
		}
	}
}

// Guards against a roll-out that stops, or a bad version that stays in use, while the registry is
// down.
func TestRegistryDownDuringRollout(t *testing.T) {
	for _, bad := range []bool{false, true} {
		r := newRollout(t, 13, 20)
		r.begin(orderTime)
		r.run(5 * time.Second)
		r.f.registryDown = true
		if bad {
			r.bad = always(0.5)
		}
		r.run(10 * time.Second)
		before := r.target
		r.run(5 * time.Second)
		if bad && r.target != before {
			t.Errorf("requests to a bad version: got %d, want none", r.target-before)
		}
		if !bad && r.target == before {
			t.Error("requests to a good version: got none, want some")
		}
		r.f.registryDown = false
		r.run(orderTime)
		want := lagoon.RolloutCompleted
		if bad {
			want = lagoon.RolloutRolledBack
		}
		if got := r.state(); got != want {
			t.Errorf("bad %t: state: got %s, want %s", bad, got, want)
		}
		r.checkBounds(bad)
	}
}

// Guards against stopping nodes that count as running, so that no node hears a majority.
func TestStoppingNodesDoNotCount(t *testing.T) {
	r := newRollout(t, 8, 20)
	r.begin(orderTime)
	r.run(5 * time.Second)
	for _, n := range r.f.nodes[4:] {
		n.control.SetStopping(true)
	}
	r.run(2 * time.Second)
	for _, n := range r.f.nodes[4:] {
		n.down = true
	}
	r.run(5 * time.Second)
	if r.decider() == nil {
		t.Error("decider among the remaining nodes: got none")
	}
}
