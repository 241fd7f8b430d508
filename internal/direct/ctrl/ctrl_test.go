package ctrl_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// Time limits that the platform sets.
const (
	applyLimit    = 3 * time.Second // from the acceptance of a change until it is in force
	recoveryLimit = 4 * time.Second // for which delays are allowed after a fault
	drainLimit    = 3 * time.Second // for which a draining server continues to serve
	zoneOutLimit  = 5 * time.Second // until a zone that is taken out gets no more requests
	failoverLimit = 7 * time.Second // for which callers may be referred to a failed node
)

func TestChangeIsInForceOnAllNodes(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	f.checkInForce("start")
	before := f.calls
	for range 5 {
		f.changeCatalog()
		f.run(applyLimit)
		f.checkInForce("change")
	}
	// Each of two hubs calls at most once every 2 s for each of four topics, and once for
	// each change.
	if got, most := f.calls-before, 2*(4*8+5)+10; got > most {
		t.Errorf("calls in 15 s: got %d, want at most %d", got, most)
	}
}

// When all hubs fail together, changes are in force on the other nodes and the failed
// nodes leave their views within the limits.
func TestHubsFailTogether(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		n.down = n.control.Hub()
	}
	f.changeCatalog()
	f.run(applyLimit)
	f.checkInForce("after the hubs died")
	f.run(failoverLimit - applyLimit)
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		members := n.publishedView.Load().Members()
		if got, want := len(members), 11; got != want {
			t.Errorf("%s: live nodes: got %d, want %d", n.self.Name(), got, want)
		}
	}
}

// After the registry has compacted its history, a pending watch may never get
// a response. Its timeout must be short enough.
func TestWatchesHangAfterCompaction(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	f.watchesHang = true
	f.changeCatalog()
	f.announce("s1", false)
	f.compactedRevision = f.revision
	f.run(tickStep)
	f.watchesHang = false
	f.run(recoveryLimit)
	f.checkInForce("after the history was compacted")
	for _, n := range f.nodes {
		if got, want := len(n.publishedView.Load().ServersOf("desk")), 1; got != want {
			t.Errorf("%s: servers: got %d, want %d", n.self.Name(), got, want)
		}
	}
}

// A call that hangs must delay only its own topic.
func TestHangingCallDoesNotDelayOtherTopics(t *testing.T) {
	f := newFleet(t, 1)
	f.run(3 * time.Second)
	n := f.nodes[0]
	n.hangingTopics[lagoon.TopicMembers] = true
	f.run(9 * time.Second)
	f.registryDown = true
	f.run(3 * time.Second)
	f.registryDown = false
	f.changeCatalog()
	f.run(applyLimit)
	f.checkInForce("while the watch of the members hangs")
}

// A lost push of an update is detected by the next heartbeat.
func TestLostPushIsDetected(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	rng := rand.New(rand.NewPCG(3, 3))
	f.dropMessage = func(_, _ *node) bool { return rng.IntN(3) == 0 }
	for range 6 {
		f.changeCatalog()
		f.run(applyLimit)
		f.checkInForce("with a third of the messages lost")
	}
}

// A node whose registry calls fail gets updates from the hubs.
func TestNodeCutOffFromRegistry(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	n := f.nodes[7]
	for _, other := range f.nodes {
		if !other.control.Hub() {
			n = other
		}
	}
	n.registryCutOff = true
	f.changeCatalog()
	f.run(applyLimit)
	catalog := n.publishedView.Load().Catalog()
	if got, want := catalog.Version(), f.catalogVersion; got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
}

// When all nodes restart while the registry is down, they have all topics 1.5 s
// after it has recovered.
func TestAllNodesStartWhileRegistryIsDown(t *testing.T) {
	f := newFleet(t, 13)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.registryDown = true
	f.run(4 * time.Second)
	for _, n := range f.nodes {
		f.start(n.self.Name(), n.self.Zone())
	}
	f.run(400 * time.Millisecond)
	f.registryDown = false
	f.run(1500 * time.Millisecond)
	for _, n := range f.nodes {
		if !n.publishedView.Load().Synced() {
			t.Errorf("%s: 1.5 s after the registry recovered: got a view without catalog or servers, want both", n.self.Name())
		}
	}
}

func TestDrainingServerIsRemovedInTime(t *testing.T) {
	for name, remove := range map[string]func(f *fleet){
		"draining":  func(f *fleet) { f.announce("s1", true) },
		"withdrawn": func(f *fleet) { f.withdraw("s1") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 13)
			f.announce("s1", false)
			f.announce("s2", false)
			f.run(5 * time.Second)
			remove(f)
			f.run(time.Second)
			for _, n := range f.nodes {
				for _, r := range n.publishedView.Load().ServersOf("desk") {
					if got, want := r.Draining(), r.ID() == "s1"; got != want {
						t.Errorf("%s: %s draining: got %t, want %t", n.self.Name(), r.ID(), got, want)
					}
				}
			}
			f.run(drainLimit - time.Second)
			for _, n := range f.nodes {
				if got, want := len(n.publishedView.Load().ServersOf("desk")), 1; got != want {
					t.Errorf("%s: servers: got %d, want %d", n.self.Name(), got, want)
				}
			}
		})
	}
}

// An announcement that was lost while the registry was down returns within two
// seconds; until then the server stays usable as a last resort.
func TestLostAnnouncementReturns(t *testing.T) {
	f := newFleet(t, 3)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.registryDown = true
	f.run(5 * time.Second)
	f.withdraw("s1")
	f.registryDown = false
	f.run(time.Second)
	for range 10 {
		f.run(100 * time.Millisecond)
		for _, n := range f.nodes {
			if got, want := len(n.publishedView.Load().ServersOf("desk")), 1; got != want {
				t.Fatalf("%s: servers: got %d, want %d", n.self.Name(), got, want)
			}
		}
	}
	f.announce("s1", false)
	f.run(time.Second)
	for _, n := range f.nodes {
		servers := n.publishedView.Load().ServersOf("desk")
		if len(servers) != 1 || servers[0].Draining() {
			t.Errorf("%s: got %v, want the server, not draining", n.self.Name(), servers)
		}
	}
}

// A catalog with a lower revision is never adopted, whoever sends it.
func TestCatalogNeverReverts(t *testing.T) {
	f := newFleet(t, 4)
	f.run(5 * time.Second)
	f.changeCatalog()
	f.run(time.Second)
	var old lagoon.Catalog
	old.SetVersion(1)
	old.SetRevision(1)
	for _, n := range f.nodes {
		var update lagoon.RegistryUpdate
		update.SetTopic(lagoon.TopicCatalog)
		update.SetFull(true)
		update.SetRevision(f.revision + 5)
		update.SetCatalog(old)
		m := &lagoon.RegistryPush{}
		m.SetFrom(f.nodes[0].self.Name())
		m.SetUpdate(update)
		n.mailbox = append(n.mailbox, m)
	}
	f.run(time.Second)
	f.checkInForce("after an old catalog was pushed")
}

// The servers of a zone that is taken out are removed from all views in time, even
// if all hubs fail together, and return when the zone returns to service.
func TestZoneTakenOutGetsNothing(t *testing.T) {
	f := newFleet(t, 13)
	f.announceIn("a", "s1", false)
	f.announceIn("b", "s2", false)
	f.run(5 * time.Second)
	checkServers := func(when string, want int) {
		t.Helper()
		for _, n := range f.nodes {
			if got := len(n.publishedView.Load().ServersOf("desk")); !n.down && got != want {
				t.Errorf("%s: %s: servers: got %d, want %d", when, n.self.Name(), got, want)
			}
		}
	}
	checkServers("before", 2)
	for _, n := range f.nodes {
		n.down = n.control.Hub()
	}
	f.takeZoneOut("a")
	f.run(zoneOutLimit)
	checkServers("taken out", 1)
	f.restoreZone("a")
	f.run(zoneOutLimit)
	checkServers("back", 2)
}

// Guards against a draining server that is used again because its announcement lapses while it drains
// and returns: its drain time began with the first one.
func TestDrainingServerIsNotUsedAgainWhenItReturns(t *testing.T) {
	f := newFleet(t, 13)
	f.announce("s1", false)
	f.announce("s2", false)
	f.run(5 * time.Second)
	f.announce("s1", true)
	f.run(3600 * time.Millisecond)
	f.withdraw("s1") // it has been silent for three intervals
	f.run(1400 * time.Millisecond)
	f.announce("s1", true)
	f.watchFor(2*time.Second, func() {
		if _, got := f.usedBy("s1"); got > 0 {
			t.Fatalf("%s: got %d nodes that use the draining server, want none", f.now, got)
		}
	})
	f.announce("s1", false) // it takes the departure back
	f.run(time.Second)
	if got, _ := f.usedBy("s1"); got != len(f.nodes) {
		t.Errorf("nodes that use the server once it is ready: got %d, want %d", got, len(f.nodes))
	}
}

// Guards against a server that has left and is used as one whose announcement was lost, because the
// registry turns some nodes away, the hubs among them, and a quarter of the servers is missing. The
// news comes from nodes that it serves, so that nothing was lost.
func TestServerThatLeftWhileHubsAreTurnedAway(t *testing.T) {
	f := newFleet(t, 6)
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		f.announce(id, false)
	}
	f.run(5 * time.Second)
	for _, n := range f.hubs() {
		n.registryCutOff = true
	}
	f.withdraw("s1")
	left := f.now
	f.watchFor(6*time.Second, func() {
		for _, n := range f.nodes {
			until := n.publishedView.Load().UsableUntilOf("s1")
			if !n.registryCutOff && f.now-left > drainLimit && n.publishedView.Load().ServerIDs()["s1"] && (until == 0 || f.now < until) {
				t.Fatalf("%s: uses the server %s after its announcement was removed, want at most %s", n.self.Name(), f.now-left, drainLimit)
			}
		}
	})
}
