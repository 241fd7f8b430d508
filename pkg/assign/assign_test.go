package assign_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/assign"
)

func testServers(groups, replicas int) []lagoon.ServerSpec {
	var out []lagoon.ServerSpec
	for g := range groups {
		for r := range replicas {
			var s lagoon.ServerSpec
			s.SetName(fmt.Sprintf("server-%02d%c", g, 'a'+r))
			s.SetGroup(fmt.Sprintf("group-%02d", g))
			out = append(out, s)
		}
	}
	return out
}

func testMembers(n int, start uint64) []lagoon.Member {
	var out []lagoon.Member
	for i := range n {
		var m lagoon.Member
		m.SetName(fmt.Sprintf("entry-%02d", i))
		m.SetStartID(start)
		m.SetZone(fmt.Sprintf("zone-%d", i%3))
		out = append(out, m)
	}
	return out
}

// If a plan changed although servers and members are the same, nodes would write
// new placements forever, and each placement makes the moved servers unavailable for
// one lease.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		specs := testServers(rapid.IntRange(1, 20).Draw(t, "groups"), rapid.IntRange(1, 25).Draw(t, "replicas"))
		nodes := testMembers(rapid.IntRange(1, 17).Draw(t, "nodes"), 1)
		first := assign.Planner{}.Plan(nil, specs, nodes, 1)
		second := assign.Planner{}.Plan(first, specs, nodes, 2)
		if !slices.Equal(first, second) {
			t.Fatalf("the second plan differs from the first: got %v, want %v", second, first)
		}
	})
}

func TestPlanSpreadsReplicas(t *testing.T) {
	owners := assign.Planner{}.Plan(nil, testServers(10, 3), testMembers(15, 1), 1)
	byGroup := map[string][]string{}
	for _, a := range owners {
		group := a.Server()[:len(a.Server())-1]
		if slices.Contains(byGroup[group], a.Owner()) {
			t.Errorf("%s: got two replicas owned by %s, want different owners", group, a.Owner())
		}
		byGroup[group] = append(byGroup[group], a.Owner())
	}
}

func TestPlanReassignsServersOfFailedNode(t *testing.T) {
	specs := testServers(10, 3)
	first := assign.Planner{}.Plan(nil, specs, testMembers(5, 1), 1)
	second := assign.Planner{}.Plan(first, specs, testMembers(4, 1), 2)
	moved := 0
	for i, a := range second {
		if a.Owner() == "" {
			t.Errorf("%s: got no owner, want one", a.Server())
		}
		if a.Owner() != first[i].Owner() {
			moved++
			if got, want := a.SinceVersion(), uint64(2); got != want {
				t.Errorf("%s moved: got since %d, want %d", a.Server(), got, want)
			}
		}
	}
	if got, want := moved, 6; got != want {
		t.Errorf("moved servers: got %d, want %d", got, want)
	}
}
