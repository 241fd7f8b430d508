// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package ctrl_test

import (
	"fmt"
	"testing"
	"time"
)

// overload makes some organisations send several times their quota, large and small ones.
func (c *crowd) overload(factor float64) {
	for i, o := range c.orgs {
		if i%3 == 1 {
			o.factor = factor
		}
	}
}

// TestQuotaWhenGranterIsKilled guards against requests beyond the quota after a change of the
// granter, while the limit of an organisation falls at the same time.
func TestQuotaWhenGranterIsKilled(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 1100 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			c := newCrowd(t, 24, 8, 24, 1200)
			c.run(6 * time.Second)
			c.overload(6)
			c.run(6 * time.Second)
			lowered := c.orgs[0]
			c.checkBound("before")
			c.forget()
			lowered.rate, lowered.burst, lowered.factor = lowered.rate/10, lowered.burst/10, 2
			c.declare()
			changedAt := c.now
			c.run(after)
			c.granter().down = true
			old := *lowered
			c.orgs[0] = &organisation{name: "not checked", rate: 1e9}
			c.spread = c.runningLarge(8)
			c.orgs = append(c.orgs, lowered)
			c.run(12 * time.Second)
			c.orgs = c.orgs[:len(c.orgs)-1]
			c.checkBound("granter killed")
			if got, most := lowered.mostInWindow(changedAt+5*time.Second), old.bound(); float64(got) > most {
				t.Errorf("lowered limit: got %d requests in a window, want at most %.0f", got, most)
			}
		})
	}
}

// runningLarge spreads requests over the large nodes that run.
func (c *crowd) runningLarge(large int) func(*organisation) *frontNode {
	return func(*organisation) *frontNode {
		for {
			if n := c.fronts[c.rng.IntN(large)]; !n.down {
				return n
			}
		}
	}
}

// TestQuotaWhenNodesAreCutOff guards against two granters that together grant more than the
// quota, because nodes do not hear each other while callers reach all of them.
func TestQuotaWhenNodesAreCutOff(t *testing.T) {
	for _, test := range []struct {
		every  int
		length time.Duration
	}{{6, 6 * time.Second}, {6, 12 * time.Second}, {3, 6 * time.Second}, {3, 12 * time.Second}} {
		for _, hubs := range []int{0, 1, 2} { // of the hubs that are cut off
			t.Run(fmt.Sprintf("1 of %d, %s, %d hubs", test.every, test.length, hubs), func(t *testing.T) {
				c := newCrowd(t, 24, 12, 24, 1200)
				c.run(6 * time.Second)
				c.overload(6)
				c.run(3 * time.Second)
				out := map[string]bool{}
				for _, n := range c.fronts {
					if n.control.Hub() && len(out) < hubs {
						out[n.self.Name()] = true
					}
				}
				for i, n := range c.fronts {
					if len(out) < 24/test.every && !n.control.Hub() && (i < 12/test.every || i >= 12) {
						out[n.self.Name()] = true
					}
				}
				c.dropMessage = func(from, to *node) bool { return out[from.self.Name()] != out[to.self.Name()] }
				c.forget()
				c.run(test.length)
				c.checkBound("cut off")
				c.dropMessage = nil
				c.run(8 * time.Second)
				c.checkBound("and connected again")
			})
		}
	}
}

// TestQuotaWhenAllNodesRestart guards against requests beyond the quota, and against refusals,
// when all nodes lose their state at once.
func TestQuotaWhenAllNodesRestart(t *testing.T) {
	c := newCrowd(t, 24, 8, 24, 1200)
	c.run(6 * time.Second)
	c.overload(6)
	c.run(4 * time.Second)
	for _, n := range c.fronts {
		c.startFront(n.self.Name(), n.self.Zone())
	}
	c.run(10 * time.Second)
	c.checkBound("all nodes restarted")
	c.forget()
	c.run(8 * time.Second)
	c.checkBound("afterwards")
	if got := c.refusedShare(); got > 0.005 {
		t.Errorf("afterwards: got %.3f %% of the requests within the quota refused, want at most 0.5 %%", 100*got)
	}
}

// TestQuotaWhenCallersMove guards against tokens that callers leave at one node and use again
// when they come back, and against refusals of callers that move.
func TestQuotaWhenCallersMove(t *testing.T) {
	c := newCrowd(t, 24, 8, 24, 1200)
	c.run(6 * time.Second)
	c.overload(6)
	c.spread = func(o *organisation) *frontNode {
		return c.fronts[(int(c.now/(400*time.Millisecond))*3+len(o.name)+int(o.name[len(o.name)-1]))%8]
	}
	c.forget()
	c.run(12 * time.Second)
	c.checkBound("callers move")
	if got := c.refusedShare(); got > 0.005 {
		t.Errorf("got %.3f %% of the requests within the quota refused, want at most 0.5 %%", 100*got)
	}
}

// TestQuotaWhenNodesPause guards against tokens that a paused node uses late, and against a
// granter that grants for the time of its pause, in which another one granted.
func TestQuotaWhenNodesPause(t *testing.T) {
	for _, granter := range []bool{false, true} {
		for _, length := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("granter %t, %s", granter, length), func(t *testing.T) {
				c := newCrowd(t, 24, 8, 24, 1200)
				c.run(6 * time.Second)
				c.overload(6)
				c.run(3 * time.Second)
				n := c.granter()
				for i := 0; !granter && n == c.granter(); i++ {
					n = c.fronts[i]
				}
				n.paused = true
				c.run(length)
				n.paused = false
				c.run(8 * time.Second)
				c.checkBound("paused")
			})
		}
	}
}

// TestQuotaOfBurstsWhenNodesAreCutOff guards against a burst that is spent at two granters: the
// organisations were idle, so that their buckets are full, and send when links break and when they
// are mended. Large rates without a burst leave the least slack for what overlaps.
func TestQuotaOfBurstsWhenNodesAreCutOff(t *testing.T) {
	for _, after := range []time.Duration{-time.Second, -200 * time.Millisecond, 0, 300 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			c := newCrowd(t, 24, 12, 12, 1200)
			for i, o := range c.orgs {
				o.usual, o.rate, o.burst = 5, []float64{400, 100, 20, 1}[i%4], 0
				if i >= 4 {
					o.burst = 5 * o.rate
				}
				if i >= 8 {
					o.factor = 0
				}
			}
			c.declare()
			hot := func() {
				for _, o := range c.orgs {
					o.factor = max(3*o.rate/o.usual, 2)
				}
			}
			c.run(9 * time.Second)
			if after < 0 {
				hot()
				c.run(-after)
			}
			out := map[string]bool{}
			for i, n := range c.fronts {
				if !n.control.Hub() && i%3 == 0 {
					out[n.self.Name()] = true
				}
			}
			c.dropMessage = func(from, to *node) bool { return out[from.self.Name()] != out[to.self.Name()] }
			c.run(max(after, 0))
			hot()
			c.run(6 * time.Second)
			c.checkBound("cut off")
			for i, o := range c.orgs {
				if i >= 8 {
					o.factor = 0
				}
			}
			c.run(9 * time.Second)
			c.dropMessage = nil
			hot()
			c.run(6 * time.Second)
			c.checkBound("connected again")
		})
	}
}

// TestQuotaWhenMessagesAreLost guards against nodes that change their granter with each lost
// message, so that two granters count them at the same time.
func TestQuotaWhenMessagesAreLost(t *testing.T) {
	for _, loss := range []float64{0.02, 0.1, 0.3} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			c := newCrowd(t, 24, 8, 24, 1200)
			c.run(6 * time.Second)
			c.overload(6)
			c.dropMessage = func(_, _ *node) bool { return c.rng.Float64() < loss }
			c.forget()
			c.run(12 * time.Second)
			c.checkBound("messages lost")
		})
	}
}

// TestQuotaWhenNewHubStalls guards against a new hub that keeps the small weight of a short stall
// for as long as the last granter, which was killed, may be running.
func TestQuotaWhenNewHubStalls(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			c := newCrowd(t, 12, 6, 6, 300)
			c.run(6 * time.Second)
			hubs := map[string]bool{}
			for _, n := range c.fronts {
				hubs[n.self.Name()] = n.control.Hub()
			}
			c.granter().down = true
			c.spread = c.runningLarge(6)
			var fresh *frontNode
			for end := c.now + 10*time.Second; fresh == nil && c.now < end; {
				c.run(100 * time.Millisecond)
				for _, n := range c.fronts {
					if n.control.Hub() && !hubs[n.self.Name()] && !n.down {
						fresh = n
					}
				}
			}
			if fresh == nil {
				t.Fatal("got no new hub")
			}
			c.run(after)
			c.dropMessage = func(from, to *node) bool { return (from == fresh.node) != (to == fresh.node) }
			c.run(1500 * time.Millisecond)
			c.dropMessage = nil
			c.run(3 * time.Second)
			c.forget()
			c.run(10 * time.Second)
			c.checkBound("after the stall")
			if got := fresh.control.Ledger().HeardShare(); got < 0.5 {
				t.Errorf("got a share of %.2f of the nodes that are heard, want all but that of the killed node", got)
			}
			if got := c.refusedShare(); got > 0.005 {
				t.Errorf("got %.3f %% of the requests within the quota refused, want at most 0.5 %%", 100*got)
			}
		})
	}
}

// TestQuotaWhenAnswersAreLate guards against nodes that grant tokens to themselves although hubs
// answer, only later than expected, and count them.
func TestQuotaWhenAnswersAreLate(t *testing.T) {
	c := newCrowd(t, 12, 6, 6, 300)
	c.run(6 * time.Second)
	c.overload(6)
	c.run(3 * time.Second)
	c.forget()
	c.grantDelay = 200 * time.Millisecond
	alone := 0
	for range 400 {
		c.run(20 * time.Millisecond)
		for _, n := range c.fronts {
			if !n.control.Hub() && n.control.Ledger().Granter() == n.self.Name() {
				alone++
			}
		}
	}
	c.checkBound("late answers")
	if alone > 0 {
		t.Errorf("got %d of %d times a node that grants to itself, want none", alone, 400*len(c.fronts))
	}
}

// TestQuotaWhenNodesAreCutOffForLong guards against two sides of a broken link that both use the
// whole quota once they have forgotten each other.
func TestQuotaWhenNodesAreCutOffForLong(t *testing.T) {
	c := newCrowd(t, 12, 6, 6, 300)
	c.run(6 * time.Second)
	c.overload(6)
	c.run(3 * time.Second)
	out := map[string]bool{}
	for i, n := range c.fronts {
		if !n.control.Hub() && i < 6 && len(out) < 2 {
			out[n.self.Name()] = true
		}
	}
	c.dropMessage = func(from, to *node) bool { return out[from.self.Name()] != out[to.self.Name()] }
	c.run(58 * time.Second)
	c.checkBound("after 58 s")
	c.forget()
	c.run(20 * time.Second)
	c.checkBound("after 78 s")
}

// TestShareExpires guards against a node that uses its share after the hubs have forgotten it and
// granted this share to others.
func TestShareExpires(t *testing.T) {
	f := newQuotaFleet(t, 100, 500)
	f.run(10 * time.Second)
	n := f.nodes[len(f.nodes)-1]
	if n.control.Hub() {
		t.Fatal("got a hub, want a node that is none")
	}
	share := n.control.Ledger().Share()
	f.dropMessage = func(from, _ *node) bool { return from == n } // it hears hubs, and so does not become one
	f.run(10 * time.Second)
	if got := n.control.Ledger().Share(); got != share || got == 0 {
		t.Errorf("got a share of %.3f after 10 s unheard, want %.3f", got, share)
	}
	f.run(10 * time.Minute)
	if got := n.control.Ledger().Share(); got > 0 {
		t.Errorf("got a share of %.3f after 10 min unheard, want none", got)
	}
}

// TestQuotaWhenNodeRestartsBeyondCut guards against a node that starts anew while its region is cut
// off, has never heard the nodes beyond the cut, and grants their part of the quota as well.
func TestQuotaWhenNodeRestartsBeyondCut(t *testing.T) {
	c := newCrowd(t, 4, 4, 3, 60)
	c.overload(4)
	c.run(8 * time.Second)
	north := map[string]bool{c.fronts[0].self.Name(): true}
	c.dropMessage = func(from, to *node) bool { return north[from.self.Name()] != north[to.self.Name()] }
	c.run(2 * time.Second)
	c.fronts[0] = c.startFront(c.fronts[0].self.Name(), c.fronts[0].self.Zone())
	c.run(40 * time.Second)
	c.checkBound("a node restarted beyond a cut")
}
