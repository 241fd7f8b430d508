package ctrl_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// revokeLimit is the time within which a removed key must be refused.
const revokeLimit = 5 * time.Second

// declareKeys writes a catalog with the holder of each key.
func (f *fleet) declareKeys(holders map[string]string) {
	keys := map[string][]string{"a": nil, "b": nil, "c": nil}
	for key, holder := range holders {
		keys[holder] = append(keys[holder], key)
	}
	var organisations []lagoon.Organisation
	for name, held := range keys {
		var o lagoon.Organisation
		o.SetName(name)
		o.SetKeys(held)
		organisations = append(organisations, o)
	}
	f.declared.SetOrganisations(organisations)
	f.changeCatalog()
}

// newKeyFleet returns nodes that check keys.
func newKeyFleet(t *testing.T, nodes int, holders map[string]string) *fleet {
	f := newFleet(t, 0)
	f.declareKeys(holders)
	f.startNodes(nodes)
	for _, n := range f.nodes {
		n.control.SetRevokeTime(revokeLimit)
	}
	f.run(4 * time.Second)
	return f
}

// accepts reports for which organisation a node accepts a key now; empty if it does not.
func (n *node) accepts(key string) string {
	v := n.publishedView.Load()
	o := v.FindOrganisation(key)
	if o == nil || (v.RegistryReachable() && v.CatalogValidUntil() > 0 && n.fleet.now >= v.CatalogValidUntil()) {
		return ""
	}
	return o.Name()
}

// TestKeysMovedInQuickSuccession guards against nodes that keep one of several versions which
// follow each other faster than they are pushed, or apply them in another order.
func TestKeysMovedInQuickSuccession(t *testing.T) {
	f := newKeyFleet(t, 30, map[string]string{"k": "a", "removed": "b"})
	for i, holder := range []string{"b", "c", "a", "b", "a", "c"} {
		holders := map[string]string{"k": holder}
		if i < 3 {
			holders["removed"] = "b"
		}
		f.declareKeys(holders)
		f.run(time.Duration(20+70*i) * time.Millisecond)
	}
	f.run(revokeLimit)
	for _, n := range f.nodes {
		if got := n.accepts("k"); got != "c" {
			t.Errorf("%s: got the key accepted for %q, want c", n.self.Name(), got)
		}
		if got := n.accepts("removed"); got != "" {
			t.Errorf("%s: got the removed key accepted for %q, want it refused", n.self.Name(), got)
		}
	}
}

// TestNodeBackWithOldConfiguration guards against a removed key that a node accepts right after it
// was cut off and has just reconnected, to the registry or to hubs only.
func TestNodeBackWithOldConfiguration(t *testing.T) {
	for name, registryBack := range map[string]bool{"registry": true, "hubs only": false} {
		t.Run(name, func(t *testing.T) {
			f := newKeyFleet(t, 12, map[string]string{"k": "a", "other": "b"})
			var out *node
			for _, n := range f.nodes {
				if !n.control.Hub() {
					out = n
				}
			}
			out.registryCutOff = true
			f.dropMessage = func(from, to *node) bool { return from == out || to == out }
			f.run(2 * time.Second)
			f.declareKeys(map[string]string{"other": "b"})
			f.run(6 * time.Second)
			if out.accepts("k") == "" {
				t.Fatal("got the key refused while the node has no contact, want its last configuration in use")
			}
			out.registryCutOff = !registryBack
			f.dropMessage = nil
			for end := f.now + 4*time.Second; f.now < end; {
				f.run(tickStep)
				if v := out.publishedView.Load(); v.RegistryReachable() && out.accepts("k") != "" {
					t.Fatalf("got the removed key accepted by a node that is in touch again, want it refused")
				}
			}
			if got := out.accepts("other"); got != "b" {
				t.Errorf("got the other key accepted for %q, want b once the node is in touch", got)
			}
		})
	}
}

// TestViewOfStandingNodeExpires guards against a removed key that traffic accepts by an old view
// because control stood still when the key was removed, and has not run since.
func TestViewOfStandingNodeExpires(t *testing.T) {
	f := newKeyFleet(t, 12, map[string]string{"k": "a", "other": "b"})
	n := f.nodes[len(f.nodes)-1]
	n.down = true
	f.declareKeys(map[string]string{"other": "b"})
	f.run(revokeLimit)
	if got := n.accepts("k"); got != "" {
		t.Errorf("got the key accepted for %q %s after its removal, want it refused", got, revokeLimit)
	}
	n.down = false
	f.run(2 * time.Second)
	if got := n.accepts("other"); got != "b" {
		t.Errorf("got the other key accepted for %q, want b once control runs again", got)
	}
}
