package flows_test

import (
	"math"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon/internal/direct/flows"
)

// Guards against an estimate of what other nodes send that is far off: the rate, the mean and the
// rest of a service with cheap and costly requests.
func TestRateMeanAndResidual(t *testing.T) {
	var r flows.Row
	if got := r.Rate(time.Second); got != 0 {
		t.Errorf("rate of nothing: got %f, want 0", got)
	}
	now := time.Second
	for i := range 2000 {
		now += 10 * time.Millisecond
		work := 10 * time.Millisecond
		if i%10 == 0 {
			work = 110 * time.Millisecond
		}
		r.Add(work, now)
	}
	for name, c := range map[string]struct{ got, want float64 }{
		"rate":                {r.Rate(now), 100},
		"mean in ms":          {float64(r.Mean().Milliseconds()), 20},
		"rest in ms":          {r.Residual().Seconds() * 1000, (0.9*100 + 0.1*110*110) / 20 / 2},
		"survivors at once":   {r.Survivors(0), 1},
		"rate after 5 s":      {r.Rate(now + 5*time.Second), 100 / math.E},
		"survivors after 1 s": {r.Survivors(time.Second), 0},
		"survivors of a mean": {r.Survivors(20 * time.Millisecond), 0.1 * 90 / 20},
		"survivors of 100 ms": {r.Survivors(100 * time.Millisecond), 0.1 * 10 / 20},
	} {
		if math.Abs(c.got-c.want) > 0.07*c.want+0.02 {
			t.Errorf("%s: got %.3f, want %.3f", name, c.got, c.want)
		}
	}
}
