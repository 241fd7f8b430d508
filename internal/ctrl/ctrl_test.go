package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/accept"
)

// healTime is long enough for a fresh placement after all failures ended: a
// failed node is noticed, the placement in use settles, and the new one too.
const healTime = 20 * time.Second

// check fails when two nodes may send to one server, or when a node may act
// that lacks a configuration in force.
func (s *sim) check(t *rapid.T, inForce uint64) {
	for i := range s.servers {
		if nodes := s.acting(fmt.Sprintf("server-%d", i)); len(nodes) > 1 {
			t.Fatalf("server-%d: got owners %v acting at once, want at most one", i, nodes)
		}
	}
	for _, n := range s.nodes {
		if n.w.Lease() > n.Now() && n.w.Config().Revision() < inForce {
			t.Fatalf("%s holds a lease: got revision %d, want at least %d, which is in force", n.name, n.w.Config().Revision(), inForce)
		}
	}
}

// TestControlUnderFailures drives several nodes through restarts, pauses, cuts,
// outages, lost replies, and lost and reordered messages, and checks the safety
// of ownership and configuration after every step. In the end everything is
// healed, and the system must serve again.
func TestControlUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.IntRange(3, 5).Draw(t, "nodes"), 6)
		s.settleDown(5 * time.Second)
		inForce := uint64(1)
		node := rapid.IntRange(0, len(s.nodes)-1)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			s.act(t, node, &inForce)
			s.check(t, inForce)
		}
		s.heal()
		s.settleDown(healTime)
		s.check(t, inForce)
		s.checkServes(t)
	})
}

// act does one random thing.
func (s *sim) act(t *rapid.T, node *rapid.Generator[int], inForce *uint64) {
	switch rapid.IntRange(0, 18).Draw(t, "action") {
	case 0, 1, 2:
		s.step(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * 20 * time.Millisecond)
	case 3, 4:
		if len(s.messages) > 0 {
			s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(t, "message"))
		}
	case 5, 14, 15:
		s.settleDown(time.Duration(rapid.IntRange(1, 20).Draw(t, "tenths")) * 100 * time.Millisecond)
	case 6:
		if n := s.nodes[node.Draw(t, "node")]; len(n.tasks) > 0 && !n.paused {
			n.runTask(0)
		}
	case 7:
		s.nodes[node.Draw(t, "node")].start()
	case 8:
		n := s.nodes[node.Draw(t, "node")]
		n.paused = !n.paused
	case 9:
		n := s.nodes[node.Draw(t, "node")]
		n.cut = !n.cut
	case 10:
		n := s.nodes[node.Draw(t, "node")]
		n.noStore = !n.noStore
	case 11:
		s.outage = !s.outage
	case 12:
		s.lose = !s.lose
	case 16:
		if n := s.nodes[node.Draw(t, "node")]; !n.paused && n.w.Stopping() == 0 {
			n.w.SetStopping(n.Now())
			n.w.SetBeatSoon(true)
		}
	case 17, 18:
		n := s.nodes[node.Draw(t, "node")]
		n.starved = !n.starved
	case 13:
		s.change(s.nodes[node.Draw(t, "node")], inForce)
	}
}

// change declares the zone's reason anew through a node.
func (s *sim) change(n *simNode, inForce *uint64) {
	if n.paused {
		return
	}
	var c lagoon.Change
	var z lagoon.Zone
	z.SetName("zone")
	z.SetState("in")
	z.SetReason(fmt.Sprint(s.now))
	c.SetKind("zone")
	c.SetZone(z)
	c.SetIfVersion(s.config.v.Zones()[0].Version())
	accept.Change(n.w, c, func(a lagoon.Accepted, err error) {
		if err == nil && a.InForce() {
			*inForce = max(*inForce, a.Revision())
		}
	})
}

func (s *sim) heal() {
	s.outage, s.lose = false, false
	for _, n := range s.nodes {
		n.paused, n.cut, n.noStore, n.starved = false, false, false, false
		if n.w.Stopping() > 0 {
			n.start()
		}
	}
}

// checkServes fails unless every server has one owner and every node the latest
// configuration.
func (s *sim) checkServes(t *rapid.T) {
	for i := range s.servers {
		if got := s.acting(fmt.Sprintf("server-%d", i)); len(got) != 1 {
			t.Fatalf("server-%d after healing: got owners %v, want one", i, got)
		}
	}
	for _, n := range s.nodes {
		if got, want := n.w.Config().Revision(), s.config.v.Revision(); got != want {
			t.Fatalf("%s after healing: got revision %d, want %d", n.name, got, want)
		}
	}
}
