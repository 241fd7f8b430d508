package subset_test

import (
	"slices"
	"testing"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/subset"
)

func newMember(name, zone string, cores float64) lagoon.Member {
	var m lagoon.Member
	m.SetName(name)
	m.SetZone(zone)
	m.SetCores(cores)
	return m
}

func TestSelect(t *testing.T) {
	live := []lagoon.Member{newMember("a1", "a", 0.8), newMember("a2", "a", 0.8), newMember("a3", "a", 0.1), newMember("b1", "b", 0.1), newMember("b2", "b", 0.1), newMember("c1", "c", 0.8)}
	cases := []struct {
		name, zone string
		want       []string
	}{
		{"large nodes of the zone", "a", []string{"a1", "a2"}},
		{"nodes of equal size", "b", []string{"b1", "b2"}},
		{"too few nodes in the zone", "c", []string{"a1", "a2", "c1"}},
		{"unknown zone", "x", []string{"a1", "a2", "c1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, m := range (subset.Policy{}).Select(live, c.zone) {
				got = append(got, m.Name())
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	if got := (subset.Policy{}).Select(nil, "a"); len(got) != 0 {
		t.Errorf("without nodes: got %v, want none", got)
	}
}
