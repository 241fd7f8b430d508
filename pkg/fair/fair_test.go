package fair_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon/pkg/fair"
)

// Guards against a user that takes the share of others: each gets what it asks for up to one
// common level, and the levels add up to the capacity.
func TestLevel(t *testing.T) {
	for _, c := range []struct {
		demands  []float64
		capacity float64
		want     float64
	}{
		{nil, 1, math.Inf(1)},
		{[]float64{1, 2, 3}, 6, math.Inf(1)},
		{[]float64{1, 2, 3}, 5, 2},
		{[]float64{1, 8}, 5, 4},
		{[]float64{4, 4}, 4, 2},
		{[]float64{0.1, 0.2, 80}, 1, 0.7},
		{[]float64{1, 1}, 0, 0},
	} {
		var s fair.Shares
		for i, d := range c.demands {
			s.Add(fmt.Sprint(i), 0, 0, time.Duration(d*float64(time.Second)), false)
		}
		if got := s.Level(c.capacity); math.Abs(got-c.want) > 1e-9 && got != c.want {
			t.Errorf("demands %v, capacity %g: got level %g, want %g", c.demands, c.capacity, got, c.want)
		}
	}
}

// Guards against less urgent requests of a user that take the room of its urgent ones, and
// against requests that came back too soon before others.
func TestAllot(t *testing.T) {
	var s fair.Shares
	s.Add("a", 0, 0, time.Second, false)
	s.Add("a", 2, 0, 2*time.Second, false)
	s.Add("a", 0, 0, 4*time.Second, true)
	for _, c := range []struct {
		rank                int
		returning           bool
		level, demand, want float64
	}{
		{0, false, 2, 1, 1},
		{2, false, 2, 2, 1},
		{0, true, 2, 4, 0},
		{0, true, 4, 4, 1},
		{0, false, 0.5, 1, 0.5},
		{2, false, math.Inf(1), 2, 2},
	} {
		demand, share := s.Allot("a", c.rank, c.returning, c.level)
		if demand != c.demand || share != c.want {
			t.Errorf("rank %d, returning %t, level %g: got %g of %g, want %g of %g", c.rank, c.returning, c.level, share, demand, c.want, c.demand)
		}
	}
}

// Guards against memory that grows with the names that were ever used, and demands that do not
// end.
func TestUsersAreForgotten(t *testing.T) {
	var s fair.Shares
	for i := range 20000 {
		s.Add(fmt.Sprint(i), i%8, 0, time.Millisecond, false)
	}
	if got, limit := s.Len(), 16385; got > limit {
		t.Errorf("users: got %d, want at most %d", got, limit)
	}
	for now := time.Duration(0); now < 40*time.Second; now += 50 * time.Millisecond {
		s.Decay(now)
	}
	if got := s.Len(); got != 0 {
		t.Errorf("users after 40 s: got %d, want none", got)
	}
	if got := s.Total(); got != 0 {
		t.Errorf("demand after 40 s: got %g, want none", got)
	}
}
