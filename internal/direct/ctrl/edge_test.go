package ctrl_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// A server's departure that is accepted just before the registry stops responding
// reaches the nodes late. No node may use the server after drainLimit, or after it
// learned of the departure if that is later, however long the outage lasts.
func TestDepartureBeforeOutageIsAppliedInTime(t *testing.T) {
	departures := map[string]func(f *fleet){
		"draining":  func(f *fleet) { f.announce("s1", true) },
		"withdrawn": func(f *fleet) { f.withdraw("s1") },
	}
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			for outage := 100 * time.Millisecond; outage <= 3500*time.Millisecond; outage += 100 * time.Millisecond {
				f := newFleet(t, 5)
				f.announce("s1", false)
				for i := range 8 { // the other servers of the service keep their announcements
					f.announce(fmt.Sprint("other-", i), false)
				}
				f.run(5 * time.Second)
				f.registryDown = true
				depart(f)
				accepted := f.now
				learned := map[string]time.Duration{}
				for f.now < accepted+drainLimit+recoveryLimit {
					f.registryDown = f.now < accepted+outage
					f.run(tickStep)
					for _, n := range f.nodes {
						checkDeparture(t, n, outage, accepted, learned)
					}
				}
			}
		})
	}
}

// checkDeparture checks that a node does not use server s1 too late.
func checkDeparture(t *testing.T, n *node, outage, accepted time.Duration, learned map[string]time.Duration) {
	t.Helper()
	name, now := n.self.Name(), n.fleet.now
	server := findServer(n, "s1")
	if _, ok := learned[name]; !ok && (server == nil || server.Draining()) {
		learned[name] = now
	}
	at, ok := learned[name]
	if server != nil && ok && now-accepted > drainLimit && now > at {
		t.Fatalf("outage of %s: %s learned of the departure after %s: got the server in use after %s, want not after %s", outage, name, at-accepted, now-accepted, drainLimit)
	}
}

// findServer returns a server in a node's view, or nil.
func findServer(n *node, id string) *lagoon.Replica {
	servers := n.publishedView.Load().ServersOf("desk")
	for i := range servers {
		if servers[i].ID() == id {
			return &servers[i]
		}
	}
	return nil
}

// A node that starts while a server is draining does not know since when. It must not
// use the server, which may be about to end.
func TestNodeStartsWhileServerIsDraining(t *testing.T) {
	f := newFleet(t, 5)
	f.announce("s1", false)
	f.announce("s2", false)
	f.run(5 * time.Second)
	f.announce("s1", true)
	f.run(drainLimit - 500*time.Millisecond)
	restarted := f.start(f.nodes[4].self.Name(), f.nodes[4].self.Zone())
	for range 50 {
		f.run(tickStep)
		if server := findServer(restarted, "s1"); server != nil {
			t.Fatalf("%s: got the draining server in use, want not", restarted.self.Name())
		}
	}
	if got := findServer(restarted, "s2"); got == nil {
		t.Error("the other server: got none, want it in use")
	}
}

// The drain time that the settings declare bounds the use of a draining server, when it is
// shorter than the grace period as well.
func TestDeclaredDrainTimeIsKept(t *testing.T) {
	const drainTime = time.Second
	f := newFleet(t, 5)
	f.announce("s1", false)
	f.announce("s2", false)
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		n.control.SetDrainTime(drainTime)
	}
	f.announce("s1", true)
	f.run(drainTime)
	for _, n := range f.nodes {
		if got := findServer(n, "s1"); got != nil {
			t.Errorf("%s: got the draining server in use after %s, want not", n.self.Name(), drainTime)
		}
	}
}

// Pushes that arrive late and out of order bring back neither a server that has left nor
// an older catalog, also on nodes that start meanwhile.
func TestPushesOutOfOrderBringNothingBack(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 7))
		f := newFleet(t, 0)
		f.hubWait, f.largeNodes = 1500*time.Millisecond, 4
		f.startNodes(30)
		f.announce("s0", false)
		f.run(5 * time.Second)
		f.pushDelay = func() time.Duration { return time.Duration(rng.Int64N(int64(2 * time.Second))) }
		left := map[string]time.Duration{}
		versions := map[*node]uint64{}
		for round := range 8 {
			id := fmt.Sprint("s", round+1)
			f.announce(id, false)
			f.changeCatalog()
			f.run(700 * time.Millisecond)
			f.withdraw(id)
			left[id] = f.now
			n := f.nodes[rng.IntN(len(f.nodes))]
			f.start(n.self.Name(), n.self.Zone())
			for end := f.now + 900*time.Millisecond; f.now < end; {
				f.run(tickStep)
				checkNothingBack(t, f, left, versions)
			}
		}
	}
}

// checkNothingBack checks that no node uses a server that left drainLimit ago, or a
// catalog with a lower version than it had.
func checkNothingBack(t *testing.T, f *fleet, left map[string]time.Duration, versions map[*node]uint64) {
	t.Helper()
	for _, n := range f.nodes {
		for id, at := range left {
			if findServer(n, id) != nil && f.now-at > drainLimit {
				t.Fatalf("%s: got server %s in use %s after it left, want not after %s", n.self.Name(), id, f.now-at, drainLimit)
			}
		}
		catalog := n.publishedView.Load().Catalog()
		if catalog.Version() < versions[n] {
			t.Fatalf("%s: got catalog version %d after %d, want no older one", n.self.Name(), catalog.Version(), versions[n])
		}
		versions[n] = catalog.Version()
	}
}

// Guards against a delayed heartbeat of an earlier run of a node that counts as one of its later
// run: the node would count as stopping, and its list of live nodes as empty.
func TestDelayedHeartbeatOfEarlierRunIsIgnored(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	hub := f.hubs()[0]
	late := &lagoon.Heartbeat{}
	late.SetFrom(hub.self)
	late.SetHub(true)
	late.SetStopping(true)
	late.SetHasRoster(true)
	late.SetRosterVersion(hub.control.Roster().Version() + 1)
	later := f.start(hub.self.Name(), hub.self.Zone())
	f.run(5 * time.Second)
	for _, n := range f.nodes {
		n.mailbox = append(n.mailbox, late)
	}
	f.run(tickStep)
	for _, n := range f.nodes {
		if n == later {
			continue
		}
		row, ok := n.control.Peers().Find(later.self.Name())
		if !ok {
			t.Fatalf("%s: the node that was restarted is not known", n.self.Name())
		}
		if got, want := row.Member().StartID(), later.self.StartID(); got != want {
			t.Errorf("%s: start ID: got %d, want %d, that of the later run", n.self.Name(), got, want)
		}
		if row.Stopping() || row.RosterVersion() == late.RosterVersion() {
			t.Errorf("%s: got stopping %t and roster version %d, want those of the later run", n.self.Name(), row.Stopping(), row.RosterVersion())
		}
	}
}
