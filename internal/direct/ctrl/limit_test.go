package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// limitOf returns a statement of a server on its limit; a negative one means none.
func limitOf(server string, perSecond float64) lagoon.ServerLimit {
	var s lagoon.ServerLimit
	s.SetServer(server)
	s.SetLimited(perSecond >= 0)
	s.SetPerSecond(max(perSecond, 0))
	return s
}

// tell reports a limit to a node's control, as its traffic does.
func (n *node) tell(statement lagoon.ServerLimit) {
	report := &lagoon.LimitReport{}
	report.SetLimits([]lagoon.ServerLimit{statement})
	n.mailbox = append(n.mailbox, report)
}

// limited counts the nodes that know a limit of a server.
func (f *fleet) limited(server string, perSecond float64) int {
	count := 0
	for _, n := range f.nodes {
		if row, ok := n.control.Limits().Find(server); ok && row.Limited() && row.PerSecond() == perSecond {
			count++
		}
	}
	return count
}

// Guards against nodes that learn of a limit only from their own responses: the news of one node
// reaches all of them, and a node that starts later, and so does the end.
func TestNewsOfLimitReachesAllNodes(t *testing.T) {
	const nodes = 30
	f := newFleet(t, nodes)
	f.announce("i-1", false)
	f.run(3 * time.Second)
	f.nodes[17].tell(limitOf("i-1", 33))
	f.run(1500 * time.Millisecond)
	if got := f.limited("i-1", 33); got != nodes {
		t.Errorf("nodes that know the limit: got %d, want %d", got, nodes)
	}
	f.run(10 * time.Second)
	f.start("node-05", "c")
	f.run(1500 * time.Millisecond)
	if got := f.limited("i-1", 33); got != nodes {
		t.Errorf("nodes that know the limit after one has started again: got %d, want %d", got, nodes)
	}
	f.nodes[3].tell(limitOf("i-1", 12))
	f.run(1500 * time.Millisecond)
	if got := f.limited("i-1", 12); got != nodes {
		t.Errorf("nodes that know the changed limit: got %d, want %d", got, nodes)
	}
	f.nodes[4].tell(limitOf("i-1", -1))
	f.run(1500 * time.Millisecond)
	if got := f.limited("i-1", 12); got != 0 {
		t.Errorf("nodes that keep the limit after its end: got %d, want 0", got)
	}
}

// Guards against heartbeats that grow with the number of limits that are in force.
func TestLimitsInForceAreNotRepeated(t *testing.T) {
	f := newFleet(t, 10)
	f.run(3 * time.Second)
	for i := range 100 {
		f.nodes[2].tell(limitOf(fmt.Sprint("i-", i), 20))
	}
	f.run(4 * time.Second)
	told := 0
	f.garble = func(m lagoon.Message) lagoon.Message {
		if heartbeat, ok := m.(*lagoon.Heartbeat); ok {
			told += len(heartbeat.Limits())
		}
		return m
	}
	f.run(2 * time.Second)
	if told > 0 {
		t.Errorf("limits in heartbeats long after the last change: got %d, want 0", told)
	}
}

// Guards against limits of servers that are gone for good, which leave no room in a heartbeat for
// those in force.
func TestLimitsOfServersThatLeftAreNotTold(t *testing.T) {
	f := newFleet(t, 10)
	f.announce("i-1", false)
	f.run(3 * time.Second)
	for i := range 400 {
		f.nodes[2].tell(limitOf(fmt.Sprint("gone-", i), 20))
	}
	f.run(4 * time.Second)
	f.nodes[2].tell(limitOf("i-1", 33))
	f.run(4 * time.Second)
	f.start("node-05", "c")
	f.run(1500 * time.Millisecond)
	if got, want := f.limited("i-1", 33), len(f.nodes); got != want {
		t.Errorf("nodes that know the limit after one has started again: got %d, want %d", got, want)
	}
}
