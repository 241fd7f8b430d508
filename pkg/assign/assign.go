// Package assign assigns the ownership of servers to nodes.
//
// # Usage
//
//	var p assign.Planner
//	owners := p.Plan(old, servers, members, nextVersion)
//
// An owner that is still a member keeps its servers, which minimizes moves. The
// replicas of one group are assigned to different nodes in different zones if there
// are enough, and the number of servers per node is balanced. The plan is a
// deterministic function of the arguments.
package assign

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoontrail/lagoon"
)

// Planner computes assignments. It has no state; the zero value is usable.
type Planner struct{}

// memberLoad is the number of servers assigned to one member during planning, in
// total and per group.
type memberLoad struct {
	member lagoon.Member
	owned  int
	groups map[string]int
}

// Plan returns the assignments of the servers to the members, ordered by server
// name. version is the placement version of assignments to a new owner.
func (Planner) Plan(old []lagoon.Assignment, servers []lagoon.ServerSpec, members []lagoon.Member, version uint64) []lagoon.Assignment {
	specs := append([]lagoon.ServerSpec(nil), servers...)
	sort.Slice(specs, func(i, j int) bool { return specs[i].Name() < specs[j].Name() })
	loads := make([]*memberLoad, len(members))
	byName := map[string]*memberLoad{}
	for i, m := range members {
		loads[i] = &memberLoad{member: m, groups: map[string]int{}}
		byName[m.Name()] = loads[i]
	}
	quota := len(specs)
	if len(members) > 0 {
		quota = (len(specs) + len(members) - 1) / len(members)
	}
	out := keepOwners(old, specs, byName, quota)
	groupZones := countGroupZones(out, specs, byName)
	for i := range out {
		if out[i].Owner() == "" {
			assignOwner(&out[i], specs[i], loads, groupZones, version, quota)
		}
	}
	return out
}

// keepOwners returns one assignment per server. It has the old owner if that run of
// the node is still a member and is below the quota, and no owner otherwise.
func keepOwners(old []lagoon.Assignment, specs []lagoon.ServerSpec, byName map[string]*memberLoad, quota int) []lagoon.Assignment {
	before := map[string]lagoon.Assignment{}
	for _, a := range old {
		before[a.Server()] = a
	}
	out := make([]lagoon.Assignment, len(specs))
	for i, s := range specs {
		out[i].SetServer(s.Name())
		a, ok := before[s.Name()]
		l := byName[a.Owner()]
		if !ok || l == nil || l.member.StartID() != a.StartID() || l.owned >= quota {
			continue
		}
		out[i] = a
		l.owned++
		l.groups[s.Group()]++
	}
	return out
}

// countGroupZones returns the number of assigned servers per group and zone.
func countGroupZones(out []lagoon.Assignment, specs []lagoon.ServerSpec, byName map[string]*memberLoad) map[string]int {
	groupZones := map[string]int{}
	for i := range out {
		if l := byName[out[i].Owner()]; l != nil {
			groupZones[specs[i].Group()+"/"+l.member.Zone()]++
		}
	}
	return groupZones
}

// assignOwner assigns a server to the preferred member that is below the quota. No
// member ever exceeds the quota, so that keepOwners preserves the whole plan when it
// runs again with the same servers and members.
func assignOwner(a *lagoon.Assignment, s lagoon.ServerSpec, loads []*memberLoad, groupZones map[string]int, version uint64, quota int) {
	var best *memberLoad
	for _, l := range loads {
		if l.owned < quota && (best == nil || preferred(l, best, s, groupZones)) {
			best = l
		}
	}
	if best == nil {
		return
	}
	a.SetOwner(best.member.Name())
	a.SetStartID(best.member.StartID())
	a.SetSinceVersion(version)
	best.owned++
	best.groups[s.Group()]++
	groupZones[s.Group()+"/"+best.member.Zone()]++
}

// preferred reports whether x is preferred to y as the owner of s: it owns fewer
// replicas of the group, its zone has fewer, it owns fewer servers, or it has the
// lower hash.
func preferred(x, y *memberLoad, s lagoon.ServerSpec, groupZones map[string]int) bool {
	if gx, gy := x.groups[s.Group()], y.groups[s.Group()]; gx != gy {
		return gx < gy
	}
	zx, zy := groupZones[s.Group()+"/"+x.member.Zone()], groupZones[s.Group()+"/"+y.member.Zone()]
	if zx != zy {
		return zx < zy
	}
	if x.owned != y.owned {
		return x.owned < y.owned
	}
	return tieHash(x, s) < tieHash(y, s)
}

// tieHash returns the rendezvous hash of a member and a server.
func tieHash(l *memberLoad, s lagoon.ServerSpec) uint64 {
	return xxhash.Sum64String(l.member.Name() + "/" + s.Name())
}
