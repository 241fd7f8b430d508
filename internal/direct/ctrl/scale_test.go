package ctrl_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
)

// hubs returns the running hubs.
func (f *fleet) hubs() []*node {
	var out []*node
	for _, n := range f.nodes {
		if n.control.Hub() && !n.down {
			out = append(out, n)
		}
	}
	return out
}

// A watch that ends without a change moves a hub to a later revision of the registry than
// the other nodes have until the next heartbeat. An update that the hub pushes then does
// not make the nodes read the topic.
func TestPushAfterEmptyWatchCausesNoCalls(t *testing.T) {
	f := newFleet(t, 60)
	f.announce("s1", false)
	f.run(5 * time.Second)
	before := f.calls
	const changes = 16
	for range changes {
		f.announce("s1", false) // raises the registry's revision
		f.run(2100 * time.Millisecond)
		f.changeCatalog()
		f.run(40 * time.Millisecond)
	}
	f.run(time.Second)
	f.checkInForce("after the changes")
	// Each of two hubs calls at most once every 2 s for each of four topics, and up to
	// twice for each change of two topics.
	if got, most := f.calls-before, beats.HubCount*(4*18+2*2*changes); got > most {
		t.Errorf("calls: got %d, want at most %d", got, most)
	}
}

// Hubs whose registry calls fail, while those of other nodes succeed, are replaced,
// and a change is in force in time on the nodes that reach the registry.
func TestHubsCutOffFromRegistryAreReplaced(t *testing.T) {
	f := newFleet(t, 60)
	f.run(5 * time.Second)
	cutOff := f.hubs()
	for _, n := range cutOff {
		n.registryCutOff = true
	}
	f.changeCatalog()
	f.run(applyLimit)
	f.checkInForce("with both hubs cut off")
	f.run(recoveryLimit)
	for _, n := range cutOff {
		catalog := n.publishedView.Load().Catalog()
		if got, want := catalog.Version(), f.catalogVersion; got != want {
			t.Errorf("%s, cut off: version: got %d, want %d from the new hubs", n.self.Name(), got, want)
		}
	}
	calls := f.calls
	f.run(8 * time.Second)
	// Two hubs call every 2 s for each of four topics, and the two old hubs retry.
	if got, most := f.calls-calls, 2*4*4+2*2; got > most {
		t.Errorf("calls in 8 s: got %d, want at most %d", got, most)
	}
}

// The rate of calls to an unreachable registry must not grow with the number of nodes.
func TestCallsInAnOutageDoNotGrowWithNodes(t *testing.T) {
	calls := map[int]int{}
	for _, nodes := range []int{20, 100} {
		f := newFleet(t, nodes)
		f.run(5 * time.Second)
		before := f.calls
		f.registryDown = true
		f.run(12 * time.Second)
		calls[nodes] = f.calls - before
		f.registryDown = false
		f.changeCatalog()
		f.run(recoveryLimit)
		f.checkInForce("after the outage")
		for _, n := range f.nodes {
			if !n.publishedView.Load().RegistryReachable() {
				t.Errorf("%s: got a view with an unreachable registry, want it reachable", n.self.Name())
			}
		}
	}
	t.Logf("calls in an outage of 12 s: %d of 20 nodes, %d of 100", calls[20], calls[100])
	// Each node calls once after 3 s. In the remaining 9 s all share the call rate of
	// 16 nodes that each call every 0.8 s, and at most six act as hubs, with two calls
	// a second each.
	if got, most := calls[100], 100+9*16*10/8+6*2*12; got > most {
		t.Errorf("calls of 100 nodes: got %d, want at most %d", got, most)
	}
}

// When all nodes of a large fleet start together, each reads the members. The nodes
// that callers are referred to read the other topics without waiting for a hub; the
// hubs push those to the rest.
func TestLargeFleetStartsOnFewCalls(t *testing.T) {
	f := newFleet(t, 60)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.hubWait, f.largeNodes = 1500*time.Millisecond, 4
	before := f.calls
	for _, n := range f.nodes {
		f.start(n.self.Name(), n.self.Zone())
	}
	f.run(100 * time.Millisecond)
	for _, n := range f.nodes[:f.largeNodes] {
		if !n.publishedView.Load().Synced() {
			t.Errorf("%s: 0.1 s after the start: got a view without catalog or servers, want both", n.self.Name())
		}
	}
	f.run(300 * time.Millisecond)
	for _, n := range f.nodes {
		if !n.publishedView.Load().Synced() {
			t.Errorf("%s: 0.4 s after the start: got a view without catalog or servers, want both", n.self.Name())
		}
	}
	if got, most := f.calls-before, 60+3*f.largeNodes+4*beats.HubCount; got > most {
		t.Errorf("calls: got %d, want at most %d", got, most)
	}
}

// The list of members of a large fleet takes a small node some tenths of a second to
// read. It waits for the list, and then for a hub, instead of reading all topics.
func TestLargeFleetStartsOnFewCallsWhenReadsTakeLong(t *testing.T) {
	f := newFleet(t, 60)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.hubWait, f.largeNodes, f.responseTime = 1500*time.Millisecond, 4, 200*time.Millisecond
	before := f.calls
	for _, n := range f.nodes {
		f.start(n.self.Name(), n.self.Zone())
	}
	f.run(time.Second)
	for _, n := range f.nodes {
		if !n.publishedView.Load().Synced() {
			t.Errorf("%s: 1 s after the start: got a view without catalog or servers, want both", n.self.Name())
		}
	}
	if got, most := f.calls-before, 60+3*f.largeNodes+4*beats.HubCount; got > most {
		t.Errorf("calls: got %d, want at most %d", got, most)
	}
}

// The whole topics are the largest messages. One hub sends them to a node that starts;
// the other hub does so only if the node still lacks them later.
func TestOneHubSendsWholeTopics(t *testing.T) {
	for name, firstHubFails := range map[string]bool{"both hubs run": false, "one hub does not push": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 60)
			f.announce("s1", false)
			f.run(5 * time.Second)
			f.hubWait, f.largeNodes = 1500*time.Millisecond, 4
			silent := f.hubs()[0].self.Name()
			f.dropMessage = func(from, _ *node) bool {
				return firstHubFails && from.self.Name() == silent
			}
			var started []*node
			for _, n := range f.nodes[20:] {
				started = append(started, f.start(n.self.Name(), n.self.Zone()))
			}
			f.fullPushes = 0
			f.run(1200 * time.Millisecond)
			for _, n := range started {
				if !n.publishedView.Load().Synced() {
					t.Errorf("%s: 1.2 s after the start: got a view without catalog or servers, want both", n.self.Name())
				}
			}
			if got, most := f.fullPushes, len(started)*len(lagoon.Topics); got > most {
				t.Errorf("whole topics sent: got %d, want at most %d", got, most)
			}
		})
	}
}

// The push of a change takes a hub of a large fleet some time, as it goes to every node.
// Heartbeats that announce the change sooner do not make the nodes read it.
func TestSlowPushesCauseNoCalls(t *testing.T) {
	f := newFleet(t, 60)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.pushDelay = func() time.Duration { return 250 * time.Millisecond }
	before := f.calls
	const changes = 5
	for range changes {
		f.changeCatalog()
		f.announce("s1", false)
		f.run(1700 * time.Millisecond)
		f.checkInForce("after a change")
	}
	// Each of two hubs calls at most once every 2 s for each of four topics, and up to
	// twice for each change of two topics.
	if got, most := f.calls-before, beats.HubCount*(4*5+2*2*changes); got > most {
		t.Errorf("calls: got %d, want at most %d", got, most)
	}
}

// A large fleet also gets all topics within 1.7 s if its hubs do not start again, and
// within 0.1 s on the nodes that callers are referred to.
func TestLargeFleetStartsWithoutItsHubs(t *testing.T) {
	f := newFleet(t, 60)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.hubWait, f.largeNodes = 1500*time.Millisecond, 4
	for _, n := range f.hubs() {
		n.down = true
	}
	for _, n := range f.nodes {
		if !n.down {
			f.start(n.self.Name(), n.self.Zone())
		}
	}
	f.run(100 * time.Millisecond)
	for _, n := range f.nodes[:f.largeNodes] {
		if !n.down && !n.publishedView.Load().Synced() {
			t.Errorf("%s: 0.1 s after the start: got a view without catalog or servers, want both", n.self.Name())
		}
	}
	f.run(1600 * time.Millisecond)
	for _, n := range f.nodes {
		if !n.down && !n.publishedView.Load().Synced() {
			t.Errorf("%s: 1.7 s after the start: got a view without catalog or servers, want both", n.self.Name())
		}
	}
}

// Heartbeats of hubs carry only the changes to the list of live nodes.
func TestHeartbeatsCarryOnlyRosterChanges(t *testing.T) {
	f := newFleet(t, 60)
	f.run(6 * time.Second)
	f.rosterNamesSent = 0
	f.run(6 * time.Second)
	if got := f.rosterNamesSent; got != 0 {
		t.Errorf("names sent without a change: got %d, want none", got)
	}
	failed := f.nodes[30]
	failed.down = true
	f.run(6 * time.Second)
	// Two hubs send one name to 60 nodes, and repeat it until a node acknowledges it.
	if got, most := f.rosterNamesSent, 2*60*4; got > most {
		t.Errorf("names sent after one node failed: got %d, want at most %d", got, most)
	}
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		for _, m := range n.publishedView.Load().Members() {
			if m.Name() == failed.self.Name() {
				t.Errorf("%s: got %s as live, want it removed", n.self.Name(), m.Name())
			}
		}
		if got, want := len(n.publishedView.Load().Members()), 59; got != want {
			t.Errorf("%s: live nodes: got %d, want %d", n.self.Name(), got, want)
		}
	}
}

// After an outage that only the hubs have noticed, the grace period for lost
// announcements is the longer one on all nodes.
func TestHubsReportOutage(t *testing.T) {
	f := newFleet(t, 30)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.registryDown = true
	f.run(2500 * time.Millisecond)
	f.withdraw("s1")
	f.registryDown = false
	f.run(1800 * time.Millisecond)
	for _, n := range f.nodes {
		if got, want := len(n.publishedView.Load().ServersOf("desk")), 1; got != want {
			t.Errorf("%s: servers 1.8 s after the outage: got %d, want %d", n.self.Name(), got, want)
		}
	}
}

// A node whose wall clock stepped back between two runs, so that its start ID is
// lower, counts as live within the limit.
func TestNodeWhoseClockSteppedBack(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	name, zone := f.nodes[7].self.Name(), f.nodes[7].self.Zone()
	f.nodes[7].down = true
	f.run(time.Second)
	n := f.start(name, zone)
	n.self.SetStartID(1)
	n.control.SetSelf(n.self)
	f.members[name] = n.self
	f.run(recoveryLimit)
	for _, other := range f.nodes {
		if got, want := len(other.publishedView.Load().Members()), 13; got != want {
			t.Errorf("%s: live nodes: got %d, want %d", other.self.Name(), got, want)
		}
	}
}

// While no request rates are known, the nodes that callers are referred to divide
// the servers' limits among themselves, and each small node takes the share of one
// node among all.
func TestSharesAtTheStart(t *testing.T) {
	f := newFleet(t, 40)
	for i, n := range f.nodes {
		n.self.SetCores(0.1)
		if i < 4 {
			n.self.SetCores(0.8)
		}
		n.control.SetSelf(n.self)
		f.members[n.self.Name()] = n.self
	}
	f.run(300 * time.Millisecond)
	for i, n := range f.nodes {
		want := 40.0
		if i < 4 {
			want = 4
		}
		if got := n.publishedView.Load().ShareDivisor(); got != want {
			t.Errorf("%s with %.1f cores: share divisor: got %.1f, want %.0f", n.self.Name(), n.self.Cores(), got, want)
		}
	}
}

// A large fleet that starts while the registry is down makes few calls besides the
// reads of the members, and has all topics 2 s after the registry has recovered.
func TestLargeFleetStartsInAnOutage(t *testing.T) {
	f := newFleet(t, 60)
	f.announce("s1", false)
	f.run(5 * time.Second)
	f.hubWait, f.largeNodes, f.registryDown = 1500*time.Millisecond, 4, true
	for _, n := range f.nodes {
		f.start(n.self.Name(), n.self.Zone())
	}
	f.run(3 * time.Second)
	before := f.calls
	f.registryDown = false
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		if !n.publishedView.Load().Synced() {
			t.Errorf("%s: 2 s after the registry recovered: got a view without catalog or servers, want both", n.self.Name())
		}
	}
	// Each node reads the members, twice if a call was lost. The large nodes and the
	// hubs read the other topics, and the hubs watch.
	if got, most := f.calls-before, 2*60+3*f.largeNodes+3*4*beats.HubCount; got > most {
		t.Errorf("calls after the recovery: got %d, want at most %d", got, most)
	}
}

// A node that has just started refers callers to no node before it has the list of
// live nodes, so that they keep the addresses that they have.
func TestStartedNodeWaitsForRosterBeforeReferring(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		f.start(n.self.Name(), n.self.Zone())
	}
	for range 100 {
		f.run(tickStep)
		for _, n := range f.nodes {
			if v := n.publishedView.Load(); v.RosterKnown() && len(v.Members()) < 2 {
				t.Fatalf("%s at %s: refers callers to %d nodes, want to others as well", n.self.Name(), f.now, len(v.Members()))
			}
		}
	}
	for _, n := range f.nodes {
		if v := n.publishedView.Load(); !v.RosterKnown() || len(v.Members()) != 13 {
			t.Errorf("%s: 2 s after the start: roster known %t, refers callers to %d nodes, want to 13", n.self.Name(), v.RosterKnown(), len(v.Members()))
		}
	}
}
