package ctl_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// Bounds of the users' platform.
const (
	applyLimit    = 3 * time.Second // a change is in force after it was accepted
	recoveryLimit = 4 * time.Second // calm before which a disturbance excuses delays
	drainLimit    = 3 * time.Second // a leaving server serves on
	zoneOutLimit  = 5 * time.Second // a zone that is taken out gets nothing
	failoverLimit = 7 * time.Second // callers may be sent to a node that died
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
	// Two hubs, four topics, a call each 2 s or more and one for each change.
	if got, most := f.calls-before, 2*(4*8+5)+10; got > most {
		t.Errorf("calls in 15 s: got %d, want at most %d", got, most)
	}
}

// Whatever node dies, also all hubs at once, the others follow the registry
// within the time for which a disturbance excuses them.
func TestHubsDieAtOnce(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		n.down = n.board.Hub()
	}
	f.changeCatalog()
	f.run(applyLimit)
	f.checkInForce("after the hubs died")
	f.run(failoverLimit - applyLimit)
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		members := n.current.Load().Members()
		if got, want := len(members), 11; got != want {
			t.Errorf("%s: live nodes: got %d, want %d", n.self.Name(), got, want)
		}
	}
}

// After the registry has dropped its history, a watch that waits may never be
// answered.
func TestHistoryGoneWithoutAWord(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	f.watchesHang = true
	f.changeCatalog()
	f.announce("s1", false)
	f.compactedRevision = f.revision
	f.run(tickStep)
	f.watchesHang = false
	f.run(recoveryLimit)
	f.checkInForce("after the history was dropped")
	for _, n := range f.nodes {
		if got, want := len(n.current.Load().ServersOf("desk")), 1; got != want {
			t.Errorf("%s: servers: got %d, want %d", n.self.Name(), got, want)
		}
	}
}

// A call of one topic that hangs holds up no other topic.
func TestHangingCallHoldsUpNoOtherTopic(t *testing.T) {
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

// A feed that is lost between two nodes shows in the next heartbeat.
func TestLostFeedIsNoticed(t *testing.T) {
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

// A node that the registry turns away learns from the hubs.
func TestNodeTurnedAwayByTheRegistry(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	n := f.nodes[7]
	for _, other := range f.nodes {
		if !other.board.Hub() {
			n = other
		}
	}
	n.registryCutOff = true
	f.changeCatalog()
	f.run(applyLimit)
	catalog := n.current.Load().Catalog()
	if got, want := catalog.Version(), f.catalogVersion; got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
}

// When all nodes are killed while the registry is away, they know everything
// soon after its return.
func TestAllStartWhileTheRegistryIsAway(t *testing.T) {
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
		if !n.current.Load().Known() {
			t.Errorf("%s: got nothing known 1.5 s after the registry's return, want all", n.self.Name())
		}
	}
}

func TestLeavingServerGetsNothingInTime(t *testing.T) {
	for name, leave := range map[string]func(f *fleet){
		"announced": func(f *fleet) { f.announce("s1", true) },
		"removed":   func(f *fleet) { f.unannounce("s1") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 13)
			f.announce("s1", false)
			f.announce("s2", false)
			f.run(5 * time.Second)
			leave(f)
			f.run(time.Second)
			for _, n := range f.nodes {
				for _, r := range n.current.Load().ServersOf("desk") {
					if got, want := r.Leaving(), r.ID() == "s1"; got != want {
						t.Errorf("%s: %s leaving: got %t, want %t", n.self.Name(), r.ID(), got, want)
					}
				}
			}
			f.run(drainLimit - time.Second)
			for _, n := range f.nodes {
				if got, want := len(n.current.Load().ServersOf("desk")), 1; got != want {
					t.Errorf("%s: servers: got %d, want %d", n.self.Name(), got, want)
				}
			}
		})
	}
}

// An announcement that was lost while the registry was away returns within two
// seconds; until then the server is a last resort.
func TestLostAnnouncementReturns(t *testing.T) {
	f := newFleet(t, 3)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.registryDown = true
	f.run(5 * time.Second)
	f.unannounce("s1")
	f.registryDown = false
	f.run(time.Second)
	for range 10 {
		f.run(100 * time.Millisecond)
		for _, n := range f.nodes {
			if got, want := len(n.current.Load().ServersOf("desk")), 1; got != want {
				t.Fatalf("%s: servers: got %d, want %d", n.self.Name(), got, want)
			}
		}
	}
	f.announce("s1", false)
	f.run(time.Second)
	for _, n := range f.nodes {
		servers := n.current.Load().ServersOf("desk")
		if len(servers) != 1 || servers[0].Leaving() {
			t.Errorf("%s: got %v, want the server back", n.self.Name(), servers)
		}
	}
}

// A declaration of a lower revision is never adopted, whoever tells it.
func TestDeclarationNeverReverts(t *testing.T) {
	f := newFleet(t, 4)
	f.run(5 * time.Second)
	f.changeCatalog()
	f.run(time.Second)
	var old lagoon.Catalog
	old.SetVersion(1)
	old.SetRevision(1)
	for _, n := range f.nodes {
		var news lagoon.News
		news.SetTopic(lagoon.TopicCatalog)
		news.SetFull(true)
		news.SetRevision(f.revision + 5)
		news.SetCatalog(old)
		m := &lagoon.Feed{}
		m.SetFrom(f.nodes[0].self.Name())
		m.SetNews(news)
		n.inbox = append(n.inbox, m)
	}
	f.run(time.Second)
	f.checkInForce("after an old declaration was told")
}

// An availability zone that is taken out gets nothing after a few seconds, also
// while the hubs die, and is used again once it is back.
func TestZoneTakenOutGetsNothing(t *testing.T) {
	f := newFleet(t, 13)
	f.announceIn("a", "s1", false)
	f.announceIn("b", "s2", false)
	f.run(5 * time.Second)
	used := func(when string, want int) {
		t.Helper()
		for _, n := range f.nodes {
			if got := len(n.current.Load().ServersOf("desk")); !n.down && got != want {
				t.Errorf("%s: %s: servers: got %d, want %d", when, n.self.Name(), got, want)
			}
		}
	}
	used("before", 2)
	for _, n := range f.nodes {
		n.down = n.board.Hub()
	}
	f.takeZoneOut("a")
	f.run(zoneOutLimit)
	used("taken out", 1)
	f.bringZoneBack("a")
	f.run(zoneOutLimit)
	used("back", 2)
}
