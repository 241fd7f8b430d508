// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// hangOrders lets no call for the orders get a response, so that they are no longer known.
func (r *rollouts) hangOrders(hang bool) {
	for _, n := range r.f.nodes {
		n.hangingTopics[lagoon.TopicRollouts] = hang
	}
	r.run(2 * time.Second)
}

// Guards against a service without a usable server when a version is replaced without an order
// while the orders cannot be read: the old servers drain, lose their announcement, or are in a
// zone that is taken out of service.
func TestReplacedVersionWhileOrdersUnknown(t *testing.T) {
	for name, remove := range map[string]func(f *fleet, id string){
		"draining":    func(f *fleet, id string) { f.announce(id, true) },
		"unannounced": func(f *fleet, id string) { f.withdraw(id) },
		"zone out":    func(f *fleet, _ string) { f.takeZoneOut("a") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRollout(t, 3, 20)
			r.hangOrders(true)
			for i := range 3 {
				id := fmt.Sprint("new-", i)
				r.announce(id, "v2")
				replica := r.f.servers[id]
				replica.SetZone("b")
				r.f.servers[id] = replica
			}
			r.run(1500 * time.Millisecond)
			if r.target > 0 {
				t.Fatalf("requests to the new version while the old one is usable: got %d, want none", r.target)
			}
			for i := range 3 {
				id := fmt.Sprint("old-", i)
				replica := r.f.servers[id]
				remove(r.f, id)
				if changed, ok := r.f.servers[id]; ok {
					changed.SetVersion(replica.Version())
					r.f.servers[id] = changed
				}
			}
			r.run(700 * time.Millisecond)
			for _, n := range r.f.nodes {
				usable := 0
				for _, replica := range n.publishedView.Load().ServersOf("desk") {
					if !replica.Draining() {
						usable++
					}
				}
				if usable != 3 {
					t.Errorf("%s: got %d usable servers, want the 3 of the new version", n.self.Name(), usable)
				}
			}
		})
	}
}

// Guards against a view that is rebuilt in every tick while a version waits for the orders, which
// also elects the hubs each time, and against a version that still waits once they are known.
func TestWaitingVersionRebuildsFewViews(t *testing.T) {
	r := newRollout(t, 1, 20)
	n := r.f.nodes[0]
	r.hangOrders(true)
	r.announce("new-0", "v2")
	r.run(time.Second)
	views, ticks := map[*view.View]bool{}, 100
	for range ticks {
		r.run(tickStep)
		views[n.publishedView.Load()] = true
	}
	if r.target > 0 {
		t.Errorf("requests to the new version: got %d, want none", r.target)
	}
	if most := ticks / 4; len(views) > most {
		t.Errorf("views in %d ticks: got %d, want at most %d", ticks, len(views), most)
	}
	r.hangOrders(false)
	if r.target == 0 {
		t.Error("requests to the new version once the orders are known: got none")
	}
}

// Guards against a new version that waits for the orders although the grace period of all old
// servers has ended.
func TestExpiredServersHoldBackNoVersion(t *testing.T) {
	r := newRollout(t, 3, 20)
	for i := range 3 {
		id := fmt.Sprint("old-", i)
		r.f.announce(id, true)
		replica := r.f.servers[id]
		replica.SetVersion("v1")
		r.f.servers[id] = replica
	}
	r.run(time.Second) // the orders are known up to these announcements
	r.hangOrders(true)
	r.announce("new-0", "v2")
	r.run(time.Second)
	if _, target := r.usesOf(time.Second); target == 0 {
		t.Error("requests to the new version: got none, want all")
	}
}
