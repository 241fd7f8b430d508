package ratios_test

import (
	"testing"

	"github.com/lagoontrail/lagoon/internal/direct/ratios"
)

// Guards against counts that are not cumulative, which Prometheus requires, or that miss the
// ratios above the last bound.
func TestBucketsAreCumulative(t *testing.T) {
	var h ratios.Histogram
	for _, ratio := range []float64{0.1, 1, 1.1, 3, 20} {
		h.Observe(ratio)
	}
	buckets, count, sum := h.Read()
	for bound, want := range map[float64]uint64{0.25: 1, 0.8: 1, 1.25: 3, 2: 3, 4: 4, 8: 4} {
		if got := buckets[bound]; got != want {
			t.Errorf("up to %.2f: got %d, want %d", bound, got, want)
		}
	}
	if count != 5 || sum < 25.19 || sum > 25.21 {
		t.Errorf("all: got %d with a sum of %.2f, want 5 with 25.2", count, sum)
	}
}
