package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// caseOf returns a request under which servers ended, as traffic reports it at a time.
func caseOf(fingerprint string, now time.Duration, servers ...string) *lagoon.CaseReport {
	var c lagoon.RequestCase
	c.SetFingerprint(fingerprint)
	c.SetNow(now)
	for i, server := range servers {
		var e lagoon.ServerEnd
		e.SetService("desk")
		e.SetServer(server)
		e.SetSentAt(now - time.Duration(20*(len(servers)-i))*time.Millisecond)
		e.SetEndedAt(e.SentAt() + 10*time.Millisecond)
		c.SetEnds(append(c.Ends(), e))
	}
	report := &lagoon.CaseReport{}
	report.SetCases([]lagoon.RequestCase{c})
	return report
}

// deliverTo makes the nodes' control pass on to traffic what it has learned, and returns how many
// have passed on each request.
func (f *fleet) deliverTo() map[string]int {
	told := map[string]int{}
	for _, n := range f.nodes {
		f.deliverNode(n, told)
	}
	return told
}

func (f *fleet) deliverNode(n *node, told map[string]int) {
	seen := map[string]bool{}
	n.control.SetDeliverCases(func(m any) bool {
		for _, c := range m.(*lagoon.CaseReport).Cases() {
			if !seen[c.Fingerprint()] {
				seen[c.Fingerprint()] = true
				told[c.Fingerprint()]++
			}
		}
		return true
	})
}

// Guards against nodes that learn of a deadly request only from servers of their own, or a heartbeat
// later: callers come back within a tenth of a second, at any node.
func TestNodesTellEachOtherOfDeadlyRequestsAtOnce(t *testing.T) {
	for _, size := range []int{3, 13, 60} {
		for _, fromHub := range []bool{true, false} {
			f := newFleet(t, size)
			f.run(5 * time.Second)
			told := f.deliverTo()
			for _, n := range f.nodes {
				if n.control.Hub() == fromHub {
					n.mailbox = append(n.mailbox, caseOf("deadly", f.now, "s1", "s2", "s3"))
					break
				}
			}
			f.run(100 * time.Millisecond)
			if got, want := told["deadly"], size-1; got != want {
				t.Errorf("%d nodes, from a hub: %t: told within 0.1 s: got %d, want %d", size, fromHub, got, want)
			}
		}
	}
}

// Guards against a node that starts anew and sends a request which all others know to be deadly, and
// against news that is lost with the messages that carry it.
func TestNodeLearnsOfDeadlyRequestsLater(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	f.dropMessage = func(_, to *node) bool { return to == f.nodes[7] }
	f.nodes[5].mailbox = append(f.nodes[5].mailbox, caseOf("deadly", f.now, "s1", "s2", "s3"))
	f.run(300 * time.Millisecond)
	f.dropMessage = nil
	told := f.deliverTo()
	f.run(time.Second)
	if got, want := told["deadly"], 1; got != want {
		t.Errorf("nodes told after a lost message: got %d, want %d", got, want)
	}
	f.run(10 * time.Second)
	clear(told)
	n := f.start("node-05", "c")
	f.deliverNode(n, told)
	f.run(2 * time.Second)
	if got, want := told["deadly"], 1; got != want {
		t.Errorf("started nodes told: got %d, want %d", got, want)
	}
}

// Guards against heartbeats that grow, or are sent more often, with the number of requests under
// which servers end.
func TestNewsOfDeadlyRequestsIsBounded(t *testing.T) {
	f := newFleet(t, 13)
	f.run(5 * time.Second)
	heartbeats, most := 0, 0
	f.garble = func(m lagoon.Message) lagoon.Message {
		if heartbeat, ok := m.(*lagoon.Heartbeat); ok {
			heartbeats++
			most = max(most, len(heartbeat.Cases()))
		}
		return m
	}
	f.run(2 * time.Second)
	usual := heartbeats
	heartbeats = 0
	for i := range 200 {
		f.nodes[i%13].mailbox = append(f.nodes[i%13].mailbox, caseOf(fmt.Sprint("request ", i), f.now, "s1", "s2"))
		f.run(20 * time.Millisecond)
	}
	if limit := 16; most > limit {
		t.Errorf("cases in a heartbeat: got %d, want at most %d", most, limit)
	}
	if got, limit := heartbeats, 2*usual*6; got > limit { // ten early ones a second, besides two regular ones
		t.Errorf("heartbeats in 4 s: got %d, want at most %d", got, limit)
	}
}
