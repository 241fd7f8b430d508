package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/accept"
)

// recoveryTime covers a new placement after the last failure: failed nodes are
// detected, the placement in use settles, and then the new one.
const recoveryTime = 20 * time.Second

// checkSafety fails if two nodes may send to the same server, or if a node holds a
// lease without knowing the configuration in force.
func (cl *cluster) checkSafety(t *rapid.T, inForce uint64) {
	for i := range cl.servers {
		if nodes := cl.nodesAllowedToSend(fmt.Sprintf("server-%d", i)); len(nodes) > 1 {
			t.Fatalf("server-%d: got active owners %v, want at most one", i, nodes)
		}
	}
	for _, n := range cl.nodes {
		if n.w.LeaseUntil() > n.Now() && n.w.Config().Revision() < inForce {
			t.Fatalf("%s holds a lease: got revision %d, want at least the revision in force, %d", n.name, n.w.Config().Revision(), inForce)
		}
	}
}

// TestControlUnderFailures runs several nodes through random restarts, pauses,
// network partitions, platform outages, lost replies, and lost or reordered
// messages. It checks the safety of ownership and configuration after every step,
// and that the cluster recovers after all failures have ended.
func TestControlUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.IntRange(3, 5).Draw(t, "nodes"), 6)
		cl.runFor(5 * time.Second)
		inForce := uint64(1)
		node := rapid.IntRange(0, len(cl.nodes)-1)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			cl.randomAction(t, node, &inForce)
			cl.checkSafety(t, inForce)
		}
		cl.endFailures()
		cl.runFor(recoveryTime)
		cl.checkSafety(t, inForce)
		cl.checkRecovered(t)
	})
}

func (cl *cluster) randomAction(t *rapid.T, node *rapid.Generator[int], inForce *uint64) {
	switch rapid.IntRange(0, 18).Draw(t, "action") {
	case 0, 1, 2:
		cl.step(time.Duration(rapid.IntRange(1, 30).Draw(t, "steps of 20 ms")) * 20 * time.Millisecond)
	case 3, 4:
		if len(cl.messages) > 0 {
			cl.deliver(rapid.IntRange(0, len(cl.messages)-1).Draw(t, "message"))
		}
	case 5, 14, 15:
		cl.runFor(time.Duration(rapid.IntRange(1, 20).Draw(t, "tenths of a second")) * 100 * time.Millisecond)
	case 6:
		if n := cl.nodes[node.Draw(t, "node")]; len(n.tasks) > 0 && !n.paused {
			n.runTask(0)
		}
	case 7:
		cl.nodes[node.Draw(t, "node")].start()
	case 8:
		n := cl.nodes[node.Draw(t, "node")]
		n.paused = !n.paused
	case 9:
		n := cl.nodes[node.Draw(t, "node")]
		n.partitioned = !n.partitioned
	case 10:
		n := cl.nodes[node.Draw(t, "node")]
		n.platformUnreachable = !n.platformUnreachable
	case 11:
		cl.platformDown = !cl.platformDown
	case 12:
		cl.loseReplies = !cl.loseReplies
	case 16:
		if n := cl.nodes[node.Draw(t, "node")]; !n.paused && n.w.StoppingSince() == 0 {
			n.w.SetStoppingSince(n.Now())
			n.w.SetHeartbeatDue(true)
		}
	case 17, 18:
		n := cl.nodes[node.Draw(t, "node")]
		n.noUpdates = !n.noUpdates
	case 13:
		cl.changeZone(cl.nodes[node.Draw(t, "node")], inForce)
	}
}

// changeZone changes the reason of the zone through a node.
func (cl *cluster) changeZone(n *simNode, inForce *uint64) {
	if n.paused {
		return
	}
	var c lagoon.Change
	var z lagoon.Zone
	z.SetName("zone")
	z.SetState("in")
	z.SetReason(fmt.Sprint(cl.now))
	c.SetKind("zone")
	c.SetZone(z)
	c.SetIfVersion(cl.config.v.Zones()[0].Version())
	accept.Change(n.w, c, func(result lagoon.ChangeResult, err error) {
		if err == nil && result.InForce() {
			*inForce = max(*inForce, result.Revision())
		}
	})
}

func (cl *cluster) endFailures() {
	cl.platformDown, cl.loseReplies = false, false
	for _, n := range cl.nodes {
		n.paused, n.partitioned, n.platformUnreachable, n.noUpdates = false, false, false, false
		if n.w.StoppingSince() > 0 {
			n.start()
		}
	}
}

// checkRecovered fails unless every server has exactly one owner and every node has
// the latest configuration.
func (cl *cluster) checkRecovered(t *rapid.T) {
	for i := range cl.servers {
		if got := cl.nodesAllowedToSend(fmt.Sprintf("server-%d", i)); len(got) != 1 {
			t.Fatalf("server-%d after recovery: got owners %v, want one", i, got)
		}
	}
	for _, n := range cl.nodes {
		if got, want := n.w.Config().Revision(), cl.config.v.Revision(); got != want {
			t.Fatalf("%s after recovery: got revision %d, want %d", n.name, got, want)
		}
	}
}
