package shed_test

import (
	"math"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/shed"
)

// Guards against a request that is admitted beyond the share of its organisation, and against
// one within it, or within what its rank keeps, that is refused.
func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		name                string
		demand, share       float64
		floor               float64
		returning           bool
		expected, left      time.Duration
		wantLow, wantMiddle bool // whether it is admitted at the random numbers 0.05 and 0.5
	}{
		{"no limit", 3, math.Inf(1), 1, false, 0, time.Second, true, true},
		{"within the share", 1, 1, 0, false, 0, time.Second, true, true},
		{"eight times the share", 8, 1, 0, false, 0, time.Second, true, false},
		{"no share", 1, 0, 0, false, 0, time.Second, false, false},
		{"no share, the rank keeps a tenth", 1, 0, 0.1, false, 0, time.Second, true, false},
		{"no share, came back too soon", 1, 0, 0.1, true, 0, time.Second, false, false},
		{"a third of what returns finds room", 3, 1, 0, true, 0, time.Second, true, false},
		{"cannot finish in time", 1, 1, 1, false, 2 * time.Second, time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v lagoon.AdmissionView
			v.SetDemand(c.demand)
			v.SetFairShare(c.share)
			v.SetRankFloor(c.floor)
			v.SetReturning(c.returning)
			v.SetExpectedTime(c.expected)
			v.SetTimeLeft(c.left)
			for jitter, want := range map[float64]bool{0.05: c.wantLow, 0.5: c.wantMiddle} {
				v.SetJitter(jitter)
				got, retryAfter := shed.Policy{}.Admit(v)
				if got != want {
					t.Errorf("random number %g: got admitted %t, want %t", jitter, got, want)
				}
				if got == (retryAfter > 0) {
					t.Errorf("random number %g: got admitted %t with Retry-After %s", jitter, got, retryAfter)
				}
			}
		})
	}
}

// Guards against refused callers that return together, before others of a more urgent rank, or
// while there is no room.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		rank           int
		excess, spread float64
		want           time.Duration
	}{
		{0, 1, 0, 250 * time.Millisecond},
		{0, 1, 1, 500 * time.Millisecond},
		{0, 2, 0, 500 * time.Millisecond},
		{2, 2, 0, 1500 * time.Millisecond},
		{0, 100, 0, 2 * time.Second},
		{-1, 1, 0, 250 * time.Millisecond},
		{1000, 1, 0, 2 * time.Second},
	} {
		var v lagoon.AdmissionView
		v.SetRank(c.rank)
		v.SetDemand(1)
		v.SetExcess(c.excess)
		v.SetSpread(c.spread)
		if _, got := (shed.Policy{}).Admit(v); got != c.want {
			t.Errorf("rank %d, excess %g, spread %g: got %s, want %s", c.rank, c.excess, c.spread, got, c.want)
		}
	}
}

// Guards against a limit without evidence, one that stays when the overload is over, and one
// that falls without an end.
func TestLimit(t *testing.T) {
	var v lagoon.CapacityView
	v.SetInterval(50 * time.Millisecond)
	v.SetOffered(10)
	v.SetServed(5)
	v.SetLimit(math.Inf(1))
	v.SetPressure(100)
	if got := (shed.Policy{}).Limit(v); !math.IsInf(got, 1) {
		t.Errorf("limit without late services: got %g, want none", got)
	}
	v.SetLateFor(time.Nanosecond)
	if got, want := (shed.Policy{}).Limit(v), 4.5; got != want {
		t.Errorf("first limit: got %g, want %g", got, want)
	}
	v.SetLimit(4.5)
	for range 100 {
		v.SetLimit(shed.Policy{}.Limit(v))
	}
	if got, want := v.Limit(), 3.5; math.Abs(got-want) > 1e-9 {
		t.Errorf("limit under lasting pressure: got %g, want %g", got, want)
	}
	v.SetLateFor(0)
	v.SetPressure(0)
	v.SetOffered(4)
	steps := 0
	for ; steps < 100 && !math.IsInf(v.Limit(), 1); steps++ {
		v.SetLimit(shed.Policy{}.Limit(v))
	}
	if steps > 40 {
		t.Errorf("steps until the limit ends: got %d, want at most 40", steps)
	}
}
