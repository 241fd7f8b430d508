package epoch_test

import (
	"testing"

	"github.com/lagoontrail/lagoon/pkg/epoch"
)

func TestLaterEraIsGreater(t *testing.T) {
	before, err := epoch.Join(1, 1<<40-1)
	if err != nil {
		t.Fatal(err)
	}
	after, err := epoch.Join(2, 3)
	if err != nil {
		t.Fatal(err)
	}
	if after <= before {
		t.Errorf("first revisions of an era: got %d, want more than %d", after, before)
	}
	if got, want := epoch.Of(after), uint64(2); got != want {
		t.Errorf("era: got %d, want %d", got, want)
	}
	if got, want := epoch.Local(after), uint64(3); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

// A store without eras has era 0, and its revisions are unchanged.
func TestRevisionWithoutEra(t *testing.T) {
	if got, err := epoch.Join(0, 91); err != nil || got != 91 {
		t.Errorf("got %d, %v, want 91", got, err)
	}
}

func TestJoinOutOfRange(t *testing.T) {
	for _, c := range [][2]uint64{{1 << 24, 1}, {1, 1 << 40}} {
		if got, err := epoch.Join(c[0], c[1]); err == nil {
			t.Errorf("era %d, revision %d: got %d, want an error", c[0], c[1], got)
		}
	}
}
