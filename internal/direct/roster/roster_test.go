package roster_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/lagoontrail/lagoon/internal/direct/roster"
)

func TestChangesSince(t *testing.T) {
	var r roster.Roster
	r.RaiseVersion(100)
	r.Replace([]string{"a", "b"})
	held := r.Version()
	r.Replace([]string{"b", "c"})
	added, removed, ok := r.ChangesSince(held)
	if !ok || !slices.Equal(added, []string{"c"}) || !slices.Equal(removed, []string{"a"}) {
		t.Errorf("got %v and %v, ok %t, want [c] and [a]", added, removed, ok)
	}
	if added, removed, ok := r.ChangesSince(r.Version()); !ok || len(added)+len(removed) != 0 {
		t.Errorf("current version: got %v and %v, ok %t, want no changes", added, removed, ok)
	}
	for _, version := range []uint64{0, 99, r.Version() + 1} {
		if _, _, ok := r.ChangesSince(version); ok {
			t.Errorf("version %d: got changes, want none", version)
		}
	}
}

// A node that is removed and added again between two versions is reported once,
// as added.
func TestChangesSinceReturnsLatestState(t *testing.T) {
	var r roster.Roster
	r.Replace([]string{"a"})
	held := r.Version()
	r.Replace(nil)
	r.Replace([]string{"a"})
	if added, removed, ok := r.ChangesSince(held); !ok || !slices.Equal(added, []string{"a"}) || len(removed) != 0 {
		t.Errorf("got %v and %v, ok %t, want [a] and none", added, removed, ok)
	}
}

// The number of kept changes is bounded: old ones are dropped, recent ones stay.
func TestOldChangesAreDropped(t *testing.T) {
	var r roster.Roster
	first := r.Version()
	for i := range 1000 {
		r.Replace([]string{fmt.Sprint(i)})
	}
	if _, _, ok := r.ChangesSince(first); ok {
		t.Error("first version: got changes, want them dropped")
	}
	if _, _, ok := r.ChangesSince(r.Version() - 100); !ok {
		t.Error("100 changes ago: got no changes, want them kept")
	}
}
