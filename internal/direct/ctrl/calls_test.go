package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// callsIn counts the registry calls in a time.
func (f *fleet) callsIn(d time.Duration) int {
	before := f.calls
	f.run(d)
	return f.calls - before
}

// hubsInOutage is the number of nodes that may have become hubs during an outage.
const hubsInOutage = 6

// Guards against calls that run away after the registry has come back from a copy: beside the usual
// ones, each node makes one call at most to find out that the registry is back, and each hub a read
// of each topic and a watch that fails; then the calls are at their usual rate again.
func TestCallsAfterRestore(t *testing.T) {
	for _, nodes := range []int{17, 60, 195} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			f := newFleet(t, nodes)
			f.hubWait = 1500 * time.Millisecond
			f.announce("i-1", false)
			f.run(5 * time.Second)
			saved := f.copyRegistry()
			f.run(2 * time.Second)
			f.changeCatalog()
			lost := f.catalogVersion
			f.announce("i-2", false)
			f.run(3 * time.Second)
			usual := f.callsIn(10 * time.Second)
			f.registryDown = true
			down := f.callsIn(2 * time.Second)
			f.restore(saved)
			back := f.callsIn(time.Second)
			f.writeCatalogAgain(lost)
			back += f.callsIn(19 * time.Second)
			later := f.callsIn(10 * time.Second)
			t.Logf("calls in 10 s before: %d; in 2 s of the outage: %d; in 20 s after it: %d; in 10 s later: %d", usual, down, back, later)
			topics := len(lagoon.Topics)
			if want := 2*usual + nodes + 2*hubsInOutage*topics; back > want {
				t.Errorf("calls in 20 s after the return: got %d, want at most %d", back, want)
			}
			if want := usual + topics; later > want {
				t.Errorf("calls in 10 s later: got %d, want at most %d, the usual rate", later, want)
			}
		})
	}
}

// Guards against a registry whose history is gone each time that it is asked for changes, and which
// is read over and over again.
func TestCallsWhenHistoryIsAlwaysGone(t *testing.T) {
	f := newFleet(t, 17)
	f.run(5 * time.Second)
	usual := f.callsIn(10 * time.Second)
	f.historyGone = true
	f.run(time.Second)
	got := f.callsIn(10 * time.Second)
	hubs, topics := len(f.hubs()), len(lagoon.Topics)
	t.Logf("calls in 10 s: %d, usually %d", got, usual)
	if want := usual + hubs*topics*2*10; got > want { // a watch and a read per second and topic
		t.Errorf("calls in 10 s: got %d, want at most %d", got, want)
	}
	f.changeCatalog()
	f.run(applyBound)
	f.checkInForce("without history")
}
