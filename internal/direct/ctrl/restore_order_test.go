// Without the race detector, as the other tests of whole roll-outs.
//go:build !race

package ctrl_test

import (
	"maps"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// restoreRollouts ends an outage of the registry, which goes on from a copy of it and of the orders.
func (r *rollouts) restoreRollouts(c *copied, orders map[string]lagoon.Rollout) {
	r.f.restore(c)
	r.orders, r.removed = map[string]lagoon.Rollout{}, map[string]uint64{}
	for service, order := range orders {
		revision, err := epoch.Join(epoch.Of(r.f.revision), epoch.Local(order.Revision()))
		if err != nil {
			r.t.Fatal(err)
		}
		order.SetRevision(revision)
		r.orders[service] = order
	}
}

// Guards against a version that was found bad and is rolled out again, because the registry has lost
// that, or an order that is withdrawn because the registry has lost it. The outcome is written again.
func TestOutcomeOfRolloutHoldsAfterRestore(t *testing.T) {
	for _, orderLost := range []bool{false, true} {
		r := newRollout(t, 13, 60)
		before := maps.Clone(r.orders)
		saved := r.f.copyRegistry()
		r.begin(orderTime)
		if !orderLost {
			r.run(500 * time.Millisecond)
			before, saved = maps.Clone(r.orders), r.f.copyRegistry()
		}
		r.run(5 * time.Second)
		r.bad = always(1)
		r.run(10 * time.Second)
		if got, want := r.state(), lagoon.RolloutRolledBack; got != want {
			t.Fatalf("state before the outage: got %s, want %s", got, want)
		}
		lost := r.orders["desk"]
		r.f.registryDown = true
		r.run(2 * time.Second)
		r.restoreRollouts(saved, before)
		for i := range 3 {
			r.announce([]string{"new-0", "new-1", "new-2"}[i], "v2")
		}
		sent := r.target
		r.run(time.Second)
		if orderLost {
			lost.SetState(lagoon.RolloutOrdered) // operators write the order again, without its outcome
			r.put(lost)
		}
		r.run(10 * time.Second)
		if got := r.target - sent; got != 0 {
			t.Errorf("order lost %t: got %d requests to the bad version after the return, want none", orderLost, got)
		}
		if got, want := r.state(), lagoon.RolloutRolledBack; got != want {
			t.Errorf("order lost %t: state after the return: got %s, want %s", orderLost, got, want)
		}
	}
}
