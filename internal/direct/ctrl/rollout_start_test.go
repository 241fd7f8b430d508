// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// restartWithoutOrders restarts a node that can neither read the orders nor get them from hubs.
func (r *rollouts) restartWithoutOrders() *node {
	last := r.f.nodes[len(r.f.nodes)-1]
	n := r.f.start(last.self.Name(), last.self.Zone())
	n.hangingTopics[lagoon.TopicRollouts] = true
	r.f.garble = func(m lagoon.Message) lagoon.Message {
		if push, ok := m.(*lagoon.RegistryPush); ok {
			if update := push.Update(); update.Topic() == lagoon.TopicRollouts {
				return nil
			}
		}
		return m
	}
	return n
}

// Guards against a started node that the others list as live, so that callers are referred to
// it, while it refuses requests because it does not know the orders.
func TestLiveNodeServes(t *testing.T) {
	r := newRollout(t, 7, 20)
	n := r.restartWithoutOrders()
	r.run(100 * time.Millisecond) // the list of the earlier run
	early := 0
	for end := r.f.now + 4*time.Second; r.f.now < end; {
		r.run(tickStep)
		for _, other := range r.f.nodes {
			row, ok := other.control.Peers().Find(n.self.Name())
			if other != n && ok && row.Live() && row.HeartbeatAt() > n.control.StartedAt() && !n.publishedView.Load().Synced() {
				early++
			}
		}
	}
	if early > 0 {
		t.Errorf("ticks of other nodes in which the node counts as live and refuses: got %d, want none", early)
	}
	if !n.publishedView.Load().Synced() {
		t.Error("the node refuses requests 4 s after its start, want it to serve without the orders")
	}
}

// Guards against a node that serves without the orders and uses the target of an open one.
func TestNodeWithoutOrdersUsesEarlierVersion(t *testing.T) {
	r := newRollout(t, 7, 20)
	r.begin(orderTime)
	r.run(2 * time.Second)
	n := r.restartWithoutOrders()
	r.run(4 * time.Second)
	var versions []string
	for _, replica := range n.publishedView.Load().ServersOf("desk") {
		versions = append(versions, replica.Version())
	}
	if want := []string{"v1", "v1", "v1"}; !slices.Equal(versions, want) || !n.publishedView.Load().Synced() {
		t.Errorf("versions in use: got %v, synced %t, want %v", versions, n.publishedView.Load().Synced(), want)
	}
	r.f.garble = nil
	n.hangingTopics[lagoon.TopicRollouts] = false
	r.run(4 * time.Second)
	if row, ok := n.control.Orders().Find("desk"); !ok || !row.Open() {
		t.Error("the order after the registry answers: got none, want it open")
	}
}
