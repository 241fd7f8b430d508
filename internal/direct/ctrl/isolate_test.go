package ctrl_test

import (
	"testing"
	"time"
)

// Guards against a node that hears no other node and takes the whole of the limits that all
// nodes share, such as the retry budget and the rate of requests to cold servers: the others
// go on using their shares.
func TestNodeThatHearsNobodyKeepsItsShare(t *testing.T) {
	for name, lost := range map[string]func(from, to *node) bool{
		"a hub hears nobody":   func(_, to *node) bool { return to.self.Name() == "node-00" },
		"nobody hears anybody": func(_, _ *node) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 13)
			f.run(5 * time.Second)
			hub := f.nodes[0]
			if !hub.control.Hub() {
				t.Fatal("node-00 is no hub")
			}
			f.dropMessage = lost
			for range 12 {
				f.run(10 * time.Second)
				sum := 0.0
				for _, n := range f.nodes {
					sum += 1 / n.publishedView.Load().ShareDivisor()
				}
				if sum > 1.2 { // the platform's bounds leave a fifth for what nodes and servers count differently
					t.Fatalf("sum of all shares %s after the messages were lost: got %.2f, want at most 1", f.now, sum)
				}
			}
		})
	}
}

// A node that is the only one left for long takes the whole of the limits in the end.
func TestLastNodeTakesWholeShare(t *testing.T) {
	f := newFleet(t, 5)
	f.run(5 * time.Second)
	for _, n := range f.nodes[1:] {
		n.down = true
	}
	f.run(11 * time.Minute)
	if got, want := f.nodes[0].publishedView.Load().ShareDivisor(), 1.0; got != want {
		t.Errorf("share divisor: got %.1f, want %.1f", got, want)
	}
}

// Guards against two parts of a fleet that do not hear each other for minutes and use the whole rate
// of a cold server each, which crashes, and against nodes that start meanwhile.
func TestPartsThatAreCutOffShareRateOfColdServers(t *testing.T) {
	for _, size := range []int{4, 13, 30} {
		f := newFleet(t, size)
		f.run(5 * time.Second)
		part := map[string]bool{}
		for i, n := range f.nodes {
			part[n.self.Name()] = i%2 == 0
		}
		f.dropMessage = func(from, to *node) bool { return part[from.self.Name()] != part[to.self.Name()] }
		for round := range 9 {
			if round == 4 {
				f.start("node-01", "b")
			}
			f.run(10 * time.Second)
			sum := 0.0
			for _, n := range f.nodes {
				sum += 1 / n.publishedView.Load().ColdDivisor()
			}
			if sum > 1.2 { // the platform's bound leaves more than that
				t.Fatalf("%d nodes, sum of the shares %s after the cut: got %.2f, want at most 1", size, 10*time.Second*time.Duration(round+1), sum)
			}
		}
		f.dropMessage = nil
		f.run(5 * time.Second)
		if got, want := f.nodes[0].publishedView.Load().ColdDivisor(), f.nodes[0].publishedView.Load().ShareDivisor(); got > 1.1*want {
			t.Errorf("%d nodes, divisor after the cut: got %.1f, want %.1f", size, got, want)
		}
	}
}
