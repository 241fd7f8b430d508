package levels_test

import (
	"math"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon/internal/direct/levels"
)

// Guards against a rank that starves: while it gets less than a tenth of the limit, as many of
// its requests are admitted as make up a tenth.
func TestFloorOfRank(t *testing.T) {
	var row levels.Row
	row.SharesRef().Add("a", 0, 0, 10*time.Second, false)
	row.SharesRef().Add("a", 2, 0, 2*time.Second, false)
	if got := row.FloorOf(2); got != 1 {
		t.Errorf("floor without a limit: got %g, want 1", got)
	}
	if got := row.LevelInForce(); !math.IsInf(got, 1) {
		t.Errorf("level without a limit: got %g, want none", got)
	}
	row.SetLimit(4)
	row.Divide()
	if got, want := row.FloorOf(2), 0.2; got != want {
		t.Errorf("floor of a rank that gets nothing: got %g, want %g", got, want)
	}
	row.CountAdmitted(2, levels.AveragingTime)
	if got := row.FloorOf(2); got != 0 {
		t.Errorf("floor of a rank that gets more than a tenth: got %g, want 0", got)
	}
	row.Decay(5*time.Second, 5*time.Second)
	if got := row.FloorOf(2); got <= 0 {
		t.Errorf("floor 5 s later: got %g, want more than 0", got)
	}
}

// Guards against a Retry-After that counts for longer than callers remember it.
func TestTold(t *testing.T) {
	var row levels.Row
	row.SetTold(1, 400*time.Millisecond, time.Second)
	row.SetTold(1, 300*time.Millisecond, time.Second)
	row.SetTold(1, 500*time.Millisecond, time.Second)
	for now, want := range map[time.Duration]time.Duration{2 * time.Second: 300 * time.Millisecond, 7 * time.Second: 0} {
		if got := row.Told(1, now); got != want {
			t.Errorf("told, %s later: got %s, want %s", now-time.Second, got, want)
		}
	}
}
