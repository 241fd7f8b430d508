package ctrl_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// Guards against a node of a large fleet that misses a change although the registry answers: its
// last call failed, so that it leaves the calls to the hubs, and the hub that sends it all topics
// does not have the change either.
func TestMissedChangeIsReadAfterFailedCall(t *testing.T) {
	f := newFleet(t, 100)
	f.announce("i-1", false)
	f.announce("i-2", false)
	f.run(5 * time.Second)
	var late *node
	for _, n := range f.nodes {
		if !n.control.Hub() {
			late = n
		}
	}
	lost := false
	f.garble = func(m lagoon.Message) lagoon.Message {
		if _, ok := m.(*lagoon.RegistryPush); ok && lost {
			return nil
		}
		return m
	}
	late.registryCutOff, lost = true, true
	f.changeCatalog() // the node calls the registry for it, in vain
	f.run(1200 * time.Millisecond)
	late.registryCutOff = false
	f.announce("i-1", true)
	f.run(applyBound)
	if _, got := f.usedBy("i-1"); got != 0 {
		t.Errorf("%s after the server was announced as draining: got %d nodes that use it, want 0", applyBound, got)
	}
	f.checkInForce("after the node is back")
}
