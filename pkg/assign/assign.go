// Package assign computes which node owns which server.
//
// # Usage
//
//	var a assign.Planner
//	owners := a.Plan(old, servers, members, nextVersion)
//
// An owner that is still a member keeps its servers, so that a change moves as
// little as possible. The replicas of one group go to different nodes in
// different zones where there are enough, and nodes get nearly equal numbers.
// The result depends only on the arguments.
package assign

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoontrail/lagoon"
)

// Planner computes assignments. The zero value works; it has no state.
type Planner struct{}

// load counts what one member owns while a plan is made.
type load struct {
	member lagoon.Member
	owned  int
	groups map[string]int
}

// Plan returns the assignments of the servers to the members, ordered by
// server name. Servers that move are marked with version.
func (Planner) Plan(old []lagoon.Assignment, servers []lagoon.ServerSpec, members []lagoon.Member, version uint64) []lagoon.Assignment {
	specs := append([]lagoon.ServerSpec(nil), servers...)
	sort.Slice(specs, func(i, j int) bool { return specs[i].Name() < specs[j].Name() })
	loads := make([]*load, len(members))
	byName := map[string]*load{}
	for i, m := range members {
		loads[i] = &load{member: m, groups: map[string]int{}}
		byName[m.Name()] = loads[i]
	}
	fair := len(specs)
	if len(members) > 0 {
		fair = (len(specs) + len(members) - 1) / len(members)
	}
	out := keep(old, specs, byName, fair)
	zones := zonesOfGroups(out, specs, byName)
	for i := range out {
		if out[i].Owner() == "" {
			give(&out[i], specs[i], loads, zones, version, fair)
		}
	}
	return out
}

// keep returns one assignment per server, with the old owner where it is still
// a member and has not more than its fair number.
func keep(old []lagoon.Assignment, specs []lagoon.ServerSpec, byName map[string]*load, fair int) []lagoon.Assignment {
	before := map[string]lagoon.Assignment{}
	for _, a := range old {
		before[a.Server()] = a
	}
	out := make([]lagoon.Assignment, len(specs))
	for i, s := range specs {
		out[i].SetServer(s.Name())
		a, ok := before[s.Name()]
		l := byName[a.Owner()]
		if !ok || l == nil || l.member.Start() != a.Start() || l.owned >= fair {
			continue
		}
		out[i] = a
		l.owned++
		l.groups[s.Group()]++
	}
	return out
}

// zonesOfGroups counts, per group and zone, the owners already assigned.
func zonesOfGroups(out []lagoon.Assignment, specs []lagoon.ServerSpec, byName map[string]*load) map[string]int {
	zones := map[string]int{}
	for i := range out {
		if l := byName[out[i].Owner()]; l != nil {
			zones[specs[i].Group()+"/"+l.member.Zone()]++
		}
	}
	return zones
}

// give assigns a server to the best member that has not its fair number yet.
// Invariant: no member gets more, so that keep keeps all of a plan next time.
func give(a *lagoon.Assignment, s lagoon.ServerSpec, loads []*load, zones map[string]int, version uint64, fair int) {
	var best *load
	for _, l := range loads {
		if l.owned < fair && (best == nil || preferred(l, best, s, zones)) {
			best = l
		}
	}
	if best == nil {
		return
	}
	a.SetOwner(best.member.Name())
	a.SetStart(best.member.Start())
	a.SetSince(version)
	best.owned++
	best.groups[s.Group()]++
	zones[s.Group()+"/"+best.member.Zone()]++
}

// preferred reports whether x is a better owner of s than y.
func preferred(x, y *load, s lagoon.ServerSpec, zones map[string]int) bool {
	if gx, gy := x.groups[s.Group()], y.groups[s.Group()]; gx != gy {
		return gx < gy
	}
	zx, zy := zones[s.Group()+"/"+x.member.Zone()], zones[s.Group()+"/"+y.member.Zone()]
	if zx != zy {
		return zx < zy
	}
	if x.owned != y.owned {
		return x.owned < y.owned
	}
	return rank(x, s) < rank(y, s)
}

func rank(l *load, s lagoon.ServerSpec) uint64 {
	return xxhash.Sum64String(l.member.Name() + "/" + s.Name())
}
