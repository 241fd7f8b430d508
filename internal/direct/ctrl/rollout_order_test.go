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

// usesOf returns how many requests each version gets in a time.
func (r *rollouts) usesOf(d time.Duration) (old, target int) {
	total, before, refused := r.total, r.target, r.refused
	r.run(d)
	target = r.target - before
	return r.total - total - target - (r.refused - refused), target
}

// Guards against a withdrawn order whose unproven version then gets everything, and against one
// whose effect never ends.
func TestWithdrawnOrder(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.begin(orderTime)
	r.run(8 * time.Second)
	r.withdraw("desk")
	r.run(2 * time.Second)
	if old, target := r.usesOf(10 * time.Second); target > 0 || old == 0 {
		t.Errorf("after the withdrawal: got %d requests to the target and %d to the old version, want the old version only", target, old)
	}
	r.run(orderTime)
	if _, target := r.usesOf(5 * time.Second); target == 0 {
		t.Error("after the duration: got no request to the other version, want versions ignored")
	}
}

// Guards against the target of a replaced order that stays in use, and against counts of the
// first order that decide on the second.
func TestReplacedOrder(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.begin(orderTime)
	r.run(10 * time.Second)
	for i := range 3 {
		r.announce(fmt.Sprint("newer-", i), "v3")
	}
	r.order("desk", "v3", orderTime)
	r.run(2 * time.Second)
	if _, target := r.usesOf(10 * time.Second); target > 0 {
		t.Errorf("requests to the first target: got %d, want none", target)
	}
	r.run(orderTime)
	if got, want := r.state(), lagoon.RolloutCompleted; got != want {
		t.Errorf("state of the second order: got %s, want %s", got, want)
	}
	if _, target := r.usesOf(3 * time.Second); target > 0 {
		t.Errorf("requests to the first target after completion of the second order: got %d, want none", target)
	}
}

// Guards against a second order for the same version that ends at once because the first one was
// rolled back.
func TestOrderAfterRollback(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.bad = always(0.5)
	r.begin(orderTime)
	r.run(15 * time.Second)
	if got, want := r.state(), lagoon.RolloutRolledBack; got != want {
		t.Fatalf("state: got %s, want %s", got, want)
	}
	r.bad = always(0.01)
	r.order("desk", "v2", orderTime)
	r.run(orderTime)
	if got, want := r.state(), lagoon.RolloutCompleted; got != want {
		t.Errorf("state of the second order: got %s, want %s", got, want)
	}
}

// Guards against an order without servers of its target that refuses requests or never ends.
func TestOrderWithoutServers(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.order("desk", "v9", 20*time.Second)
	r.order("unknown", "v2", 20*time.Second)
	r.run(15 * time.Second)
	if r.refused > 0 {
		t.Errorf("refused: got %d, want none", r.refused)
	}
	r.run(10 * time.Second)
	if got, want := r.state(), lagoon.RolloutRolledBack; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	if old, _ := r.usesOf(3 * time.Second); old == 0 {
		t.Error("requests to the old version: got none, want all")
	}
}

// Guards against a service whose only servers have the target version and that is refused for
// the whole duration.
func TestOrderWithoutOldServers(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.begin(orderTime)
	for i := range 3 {
		r.f.withdraw(fmt.Sprint("old-", i))
	}
	r.run(15 * time.Second)
	if got, want := r.state(), lagoon.RolloutCompleted; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
}

// Guards against an invalid version of an order that ends the one in force or blocks its state.
func TestInvalidOrderLeavesOrderInForce(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.begin(orderTime)
	r.run(5 * time.Second)
	valid := r.orders["desk"]
	var invalid lagoon.Rollout
	invalid.SetService("desk")
	invalid.SetInvalid(true)
	r.put(invalid)
	r.run(5 * time.Second)
	for _, n := range r.f.nodes {
		row, ok := n.control.Orders().Find("desk")
		if order := row.Order(); !ok || !row.Open() || order.TargetVersion() != valid.TargetVersion() {
			t.Errorf("%s: got %+v, want the valid order in force", n.self.Name(), row)
		}
	}
}

// Guards against servers of a new version that get all requests because their order becomes
// known later than they do.
func TestServersBeforeTheirOrder(t *testing.T) {
	r := newRollout(t, 7, 20)
	for _, n := range r.f.nodes {
		n.hangingTopics[lagoon.TopicRollouts] = true
	}
	r.run(3 * time.Second)
	r.begin(orderTime)
	r.run(2 * time.Second)
	for _, n := range r.f.nodes {
		n.hangingTopics[lagoon.TopicRollouts] = false
	}
	if most := exposureSlack; r.target > most {
		t.Errorf("requests to the new version before the order is known: got %d, want at most %d", r.target, most)
	}
}

// Guards against servers of a later version that are never used because an order for an earlier
// one was completed, also after its withdrawal and at a node that starts after completion, and
// against an old version that is used again.
func TestLaterVersionAfterCompletion(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		t.Run(fmt.Sprint("withdrawn ", withdrawn), func(t *testing.T) {
			r := newRollout(t, 7, 20)
			r.begin(orderTime)
			for end := r.f.now + orderTime; r.state() != lagoon.RolloutCompleted && r.f.now < end; {
				r.run(tickStep)
			}
			r.run(time.Second)
			r.f.start("node-06", "a")
			r.run(2 * time.Second) // it reads the order
			if withdrawn {
				r.withdraw("desk")
			}
			r.run(4 * time.Second)
			for i := range 3 {
				r.announce(fmt.Sprint("newer-", i), "v3")
			}
			r.announce("old-0", "v1") // announced again, as after a change of its announcement
			r.run(4 * time.Second)
			for _, n := range r.f.nodes {
				used := map[string]int{}
				for _, replica := range n.publishedView.Load().ServersOf("desk") {
					used[replica.Version()]++
				}
				if used["v1"] != 0 || used["v2"] != 3 || used["v3"] != 3 {
					t.Errorf("%s: got servers %v, want 3 of v2 and 3 of v3", n.self.Name(), used)
				}
			}
		})
	}
}
