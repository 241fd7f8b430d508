package ctrl_test

import (
	"fmt"
	"testing"
	"time"
)

// checkUnusedAfterDrainTime runs for a time and checks that no node that the registry serves uses a
// server later than its drain time after it left. Nodes that were turned away within recoveryLimit
// do not count.
func (f *fleet) checkUnusedAfterDrainTime(id string, left, d time.Duration) {
	f.t.Helper()
	for end := f.now + d; f.now < end && !f.t.Failed(); {
		f.run(tickStep)
		for _, n := range f.nodes {
			v := n.publishedView.Load()
			until := v.UsableUntilOf(id)
			if !n.down && !f.turnedAwayLately(n) && f.now-left > drainLimit && v.ServerIDs()[id] && (until == 0 || f.now < until) {
				f.t.Errorf("%s uses the server %s after it left, want at most %s", n.self.Name(), f.now-left, drainLimit)
				return
			}
		}
	}
}

// turnedAwayLately reports whether the registry has turned a node away within recoveryLimit.
func (f *fleet) turnedAwayLately(n *node) bool {
	return n.registryCutOff || (n.servedAgainAt > 0 && f.now-n.servedAgainAt < recoveryLimit)
}

// Guards against a server that is used anew because its announcement returns as draining at a node
// that does not know when the server began to leave: the drain time began before.
func TestServerThatReturnsAsDrainingIsNotUsed(t *testing.T) {
	for name, depart := range map[string]func(f *fleet){
		"a node starts while the announcement is gone": func(f *fleet) {
			f.announce("s1", true)
			f.run(3600 * time.Millisecond)
			f.withdraw("s1")
			f.run(400 * time.Millisecond)
			f.start("node-04", "b")
			f.run(time.Second)
		},
		"a node starts while the server drains": func(f *fleet) {
			f.announce("s1", true)
			f.run(3 * time.Second)
			f.start("node-04", "b")
			f.run(600 * time.Millisecond)
			f.withdraw("s1")
			f.run(1400 * time.Millisecond)
		},
		"the announcement is gone for more than a minute": func(f *fleet) {
			f.announce("s1", true)
			f.run(3600 * time.Millisecond)
			f.withdraw("s1")
			f.run(61 * time.Second)
			f.withdraw("s2") // its departure makes the nodes forget those of a minute ago
			f.run(3 * time.Second)
		},
		"the announcement cannot be read for a moment": func(f *fleet) {
			f.announce("s1", true)
			f.run(2800 * time.Millisecond)
			f.withdraw("s1")
			f.run(400 * time.Millisecond)
		},
		"the server was ready before its announcement was gone": func(f *fleet) {
			f.withdraw("s1")
			f.run(4 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 13)
			for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
				f.announce(id, false)
			}
			f.run(5 * time.Second)
			left := f.now
			depart(f)
			f.announce("s1", true)
			f.checkUnusedAfterDrainTime("s1", left, 4*time.Second)
		})
	}
}

// Guards against a departure whose grace period begins anew when the announcement, gone for part of
// it, returns as draining.
func TestGracePeriodDoesNotBeginAnewWhenServerReturnsAsDraining(t *testing.T) {
	for gone := 200 * time.Millisecond; gone <= 3*time.Second; gone += 200 * time.Millisecond {
		for _, lapsed := range []bool{false, true} {
			f := newFleet(t, 13)
			f.announce("s1", false)
			f.announce("s2", false)
			f.run(5 * time.Second)
			if lapsed {
				f.registryDown = true
				f.run(4500 * time.Millisecond)
				f.registryDown = false
			}
			f.withdraw("s1")
			left := f.now
			f.run(gone)
			f.announce("s1", true)
			f.checkUnusedAfterDrainTime("s1", left, 4*time.Second)
			if t.Failed() {
				t.Fatalf("the announcement returns as draining after %s, in an outage: %t", gone, lapsed)
			}
		}
	}
}

// Guards against a server that has left and is used as one whose announcement was lost in an outage,
// because the registry turned the hubs away for a while and one of them brings the news after that.
func TestServerThatLeftWhileHubsAreTurnedAwayBriefly(t *testing.T) {
	for _, nodes := range []int{6, 13} {
		for away := 200 * time.Millisecond; away <= 5*time.Second; away += 400 * time.Millisecond {
			for _, after := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, away - 100*time.Millisecond} {
				t.Run(fmt.Sprintf("%d nodes, hubs away for %s, left after %s", nodes, away, after), func(t *testing.T) {
					f := newFleet(t, nodes)
					for _, id := range []string{"s1", "s2", "s3", "s4"} {
						f.announce(id, false)
					}
					f.run(5 * time.Second)
					hubs := f.hubs()
					for _, n := range hubs {
						n.registryCutOff = true
					}
					back := f.now + away
					f.run(after)
					f.withdraw("s1")
					left := f.now
					f.checkUnusedAfterDrainTime("s1", left, back-f.now)
					for _, n := range hubs {
						n.registryCutOff, n.servedAgainAt = false, f.now
					}
					f.checkUnusedAfterDrainTime("s1", left, 6*time.Second)
				})
			}
		}
	}
}
