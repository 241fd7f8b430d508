package ctrl_test

import (
	"cmp"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// copied is a copy of the registry.
type copied struct {
	revision, catalogVersion, catalogRevision uint64
	servers                                   map[string]lagoon.Replica
	zonesOut, memberRevisions                 map[string]uint64
	members                                   map[string]lagoon.Member
	declared                                  lagoon.Catalog
}

// copyRegistry returns a copy of the registry as it is now.
func (f *fleet) copyRegistry() *copied {
	return &copied{
		revision: f.revision, catalogVersion: f.catalogVersion, catalogRevision: cmp.Or(f.catalogRevision, f.catalogVersion),
		servers: maps.Clone(f.servers), zonesOut: maps.Clone(f.zonesOut), memberRevisions: maps.Clone(f.memberRevisions), members: maps.Clone(f.members), declared: f.declared,
	}
}

// restore ends an outage of the registry, which goes on from a copy. Its revisions go back and
// are counted in the next era, and a watch of an earlier one finds its history gone.
func (f *fleet) restore(c *copied) {
	era := epoch.Of(f.revision) + 1
	again := func(revision uint64) uint64 {
		joined, err := epoch.Join(era, epoch.Local(revision))
		if err != nil {
			f.t.Fatal(err)
		}
		return joined
	}
	f.registryDown = false
	f.revision, f.compactedRevision = again(c.revision), again(c.revision)
	f.catalogVersion, f.catalogRevision = c.catalogVersion, again(c.catalogRevision)
	f.servers, f.members, f.declared = map[string]lagoon.Replica{}, maps.Clone(c.members), c.declared
	for id, r := range c.servers {
		r.SetRevision(again(r.Revision()))
		f.servers[id] = r
	}
	f.zonesOut, f.memberRevisions = map[string]uint64{}, map[string]uint64{}
	for zone, revision := range c.zonesOut {
		f.zonesOut[zone] = again(revision)
	}
	for name, revision := range c.memberRevisions {
		f.memberRevisions[name] = again(revision)
	}
	f.removed, f.zonesRestored = map[string]uint64{}, map[string]uint64{}
	for _, n := range f.nodes {
		for _, p := range n.pending { // the registry that they were sent to has ended
			p.unanswered, p.deadline = true, f.now
		}
	}
}

// writeCatalogAgain writes a version that the registry has lost.
func (f *fleet) writeCatalogAgain(version uint64) {
	f.revision++
	f.catalogVersion, f.catalogRevision = version, f.revision
}

// outage makes the registry unreachable for a time and lets it go on from a copy.
func (f *fleet) outage(length time.Duration, c *copied) {
	f.registryDown = true
	f.run(length)
	f.restore(c)
}

// versions returns the catalog version in force at each node.
func (f *fleet) versions() map[string]uint64 {
	out := map[string]uint64{}
	for _, n := range f.nodes {
		catalog := n.publishedView.Load().Catalog()
		out[n.self.Name()] = catalog.Version()
	}
	return out
}

// applyBound is the time within which a confirmed change must be in force.
const applyBound = 3 * time.Second

// Guards against nodes that take what the registry has after its return from a copy as older than
// what they knew before: a change is in force in time, and no node goes back to an earlier one.
func TestChangesAfterRestoreAreInForce(t *testing.T) {
	for _, c := range []struct {
		nodes  int
		lost   int           // changes that the registry loses
		outage time.Duration // before it is back
		later  int           // changes of other topics after that, so that revisions are given out again
	}{
		{nodes: 3, lost: 1, outage: 2 * time.Second},
		{nodes: 17, lost: 3, outage: 2 * time.Second},
		{nodes: 17, lost: 2, outage: 100 * time.Millisecond, later: 20},
		{nodes: 17, lost: 3, outage: 8 * time.Second},
		{nodes: 60, lost: 3, outage: 2 * time.Second, later: 5},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d changes lost, %s", c.nodes, c.lost, c.outage), func(t *testing.T) {
			f := newFleet(t, c.nodes)
			f.announce("i-1", false)
			f.run(3 * time.Second)
			saved := f.copyRegistry()
			for range c.lost {
				f.run(time.Second)
				f.changeCatalog()
			}
			f.run(3 * time.Second)
			newest := f.catalogVersion
			f.outage(c.outage, saved)
			for i := range c.later {
				f.announce(fmt.Sprint("i-", 10+i), false)
			}
			f.run(300 * time.Millisecond)
			for name, version := range f.versions() {
				if version < newest {
					t.Errorf("%s: went back to version %d, want %d", name, version, newest)
				}
			}
			f.writeCatalogAgain(newest)
			f.run(2 * time.Second)
			f.changeCatalog()
			f.run(applyBound)
			f.checkInForce("after the return")
			f.changeCatalog()
			f.run(applyBound)
			f.checkInForce("later")
		})
	}
}

// Guards against a server that is announced after the return at a revision that was given out
// before, and a departure that is missed.
func TestServersAfterRestoreAreFollowed(t *testing.T) {
	f := newFleet(t, 17)
	f.announce("i-1", false)
	f.announce("i-2", false)
	f.run(3 * time.Second)
	saved := f.copyRegistry()
	for range 10 {
		f.announce("i-2", false)
	}
	f.run(3 * time.Second)
	f.outage(2*time.Second, saved)
	f.run(time.Second)
	f.announce("i-3", false)
	f.announce("i-1", true)
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		v := n.publishedView.Load()
		if got := v.ServerIDs()["i-3"]; !got {
			t.Errorf("%s: the server announced after the return is used: got %t, want true", n.self.Name(), got)
		}
		if got := v.ServerIDs()["i-1"]; got {
			t.Errorf("%s: the server that drains after the return is used: got %t, want false", n.self.Name(), got)
		}
	}
}

// usedBy returns the number of nodes that may send requests to a server, and that do so if no other
// server is left.
func (f *fleet) usedBy(id string) (regularly, atAll int) {
	for _, n := range f.nodes {
		v := n.publishedView.Load()
		if until := v.UsableUntilOf(id); !v.ServerIDs()[id] || (until > 0 && f.now >= until) {
			continue
		}
		atAll++
		for _, r := range v.ServersOf("desk") {
			if r.ID() == id && !r.Draining() {
				regularly++
			}
		}
	}
	return regularly, atAll
}

// watchFor runs for a time and checks a condition each tenth of a second.
func (f *fleet) watchFor(d time.Duration, check func()) {
	for end := f.now + d; f.now < end; {
		f.run(100 * time.Millisecond)
		check()
	}
}

// Guards against a server that is used again because the copy from which the registry goes on has it
// as it was before it left: until it reports again, what the nodes know of its run counts.
func TestServersOfCopyAreNotUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(f *fleet)
	}{
		{"its entry was removed", func(f *fleet) { f.withdraw("i-1") }},
		{"it drains", func(f *fleet) { f.announce("i-1", true) }},
		{"it drained, and its entry was removed", func(f *fleet) {
			f.announce("i-1", true)
			f.run(time.Second)
			f.withdraw("i-1")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 17)
			f.announce("i-1", false)
			f.announce("i-2", false)
			f.run(3 * time.Second)
			saved := f.copyRegistry()
			c.leave(f)
			f.run(5 * time.Second)
			f.outage(2*time.Second, saved)
			f.watchFor(4*time.Second, func() {
				if _, got := f.usedBy("i-1"); got > 0 {
					t.Fatalf("%s after the return: got %d nodes that use the server, want none", f.now, got)
				}
			})
			f.announce("i-1", false)
			f.run(time.Second)
			if got, _ := f.usedBy("i-1"); got != len(f.nodes) {
				t.Errorf("nodes that use it after it has reported again: got %d, want %d", got, len(f.nodes))
			}
		})
	}
}

// Guards against a server that counts as warm because the copy is older than its cold phase.
func TestServerStaysColdAfterRestore(t *testing.T) {
	f := newFleet(t, 17)
	f.announce("i-1", false)
	f.run(3 * time.Second)
	saved := f.copyRegistry()
	f.coldFor = 20 * time.Second
	f.announce("i-1", false)
	until := f.now + f.coldFor
	f.run(time.Second)
	f.outage(2*time.Second, saved)
	f.watchFor(4*time.Second, func() {
		for _, n := range f.nodes {
			if got := n.publishedView.Load().ColdUntilOf("i-1"); got < until {
				t.Fatalf("%s: cold until %s, want %s at least", n.self.Name(), got, until)
			}
		}
	})
}

// Guards against servers that are given up because the copy is older than their announcement: they
// report again within two seconds.
func TestServerMissingInCopyStaysInUse(t *testing.T) {
	f := newFleet(t, 17)
	for i := range 12 { // few of all servers are missing
		f.announce(fmt.Sprint("i-", 10+i), false)
	}
	f.run(3 * time.Second)
	saved := f.copyRegistry()
	f.announce("i-2", false)
	f.run(3 * time.Second)
	f.outage(2*time.Second, saved)
	f.watchFor(2*time.Second, func() {
		if _, got := f.usedBy("i-2"); got != len(f.nodes) {
			t.Fatalf("%s: got %d nodes that use the server, want %d", f.now, got, len(f.nodes))
		}
	})
	f.announce("i-2", false)
	f.run(time.Second)
	if got, _ := f.usedBy("i-2"); got != len(f.nodes) {
		t.Errorf("nodes that use it after it has reported again: got %d, want %d", got, len(f.nodes))
	}
}

// Guards against requests to an availability zone that was taken out of service, because the copy is
// older than that. It returns to service only if operators do not take it out again.
func TestZoneStaysOutAfterRestore(t *testing.T) {
	for _, again := range []bool{true, false} {
		f := newFleet(t, 17)
		f.announce("i-1", false)
		f.run(3 * time.Second)
		saved := f.copyRegistry()
		f.takeZoneOut("a")
		f.run(2 * time.Second)
		f.outage(2*time.Second, saved)
		f.watchFor(3*time.Second, func() {
			if _, got := f.usedBy("i-1"); got > 0 {
				t.Fatalf("%s: got %d nodes that use a server of the zone, want none", f.now, got)
			}
		})
		want := len(f.nodes)
		if again {
			f.takeZoneOut("a")
			want = 0
		}
		f.run(7 * time.Second)
		if _, got := f.usedBy("i-1"); got != want {
			t.Errorf("taken out again %t: got %d nodes that use a server of the zone, want %d", again, got, want)
		}
	}
}

// Guards against nodes that nobody knows because the registry has lost their announcements, and
// against those that are written although it has them.
func TestNodesAnnounceThemselvesAgainAfterRestore(t *testing.T) {
	f := newFleet(t, 17)
	f.run(3 * time.Second)
	saved := f.copyRegistry()
	f.start("node-03", "a")
	f.start("node-20", "b")
	f.run(3 * time.Second)
	f.outage(2*time.Second, saved)
	f.run(4 * time.Second)
	for _, n := range f.nodes {
		want := 0
		if name := n.self.Name(); name == "node-03" || name == "node-20" {
			want = 1
		}
		if got := n.announced; got != want {
			t.Errorf("%s: got %d announcements after the return, want %d", n.self.Name(), got, want)
		}
		if got := f.members[n.self.Name()].StartID(); got != n.self.StartID() {
			t.Errorf("%s: the registry has start %d, want %d", n.self.Name(), got, n.self.StartID())
		}
	}
}

// Guards against a removed key that is accepted again because the copy is older than its removal, and
// against keys that are accepted on the word of a copy for longer than a removal may take.
func TestRemovedKeyIsRefusedAfterRestore(t *testing.T) {
	f := newKeyFleet(t, 12, map[string]string{"k": "a", "removed": "b"})
	saved := f.copyRegistry()
	f.declareKeys(map[string]string{"k": "a"})
	removed := f.catalogVersion
	f.run(5 * time.Second)
	downAt := f.now
	f.outage(2*time.Second, saved)
	f.watchFor(2*time.Second, func() {
		for _, n := range f.nodes {
			if got := n.accepts("removed"); got != "" {
				t.Fatalf("%s: got the removed key accepted for %q, want it refused", n.self.Name(), got)
			}
			if got, most := n.publishedView.Load().CatalogValidUntil(), downAt+revokeLimit; got > most {
				t.Fatalf("%s: got keys accepted until %s on the word of a copy, want at most %s", n.self.Name(), got, most)
			}
		}
	})
	f.declareKeys(map[string]string{"k": "a"})
	f.writeCatalogAgain(removed)
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		if got := n.accepts("k"); got != "a" {
			t.Errorf("%s: got a key accepted for %q after the version was written again, want a", n.self.Name(), got)
		}
	}
}
