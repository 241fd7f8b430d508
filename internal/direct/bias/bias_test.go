package bias_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon/internal/direct/bias"
)

// Guards against corrections of servers that report truly, and against none of those that do not.
func TestFactor(t *testing.T) {
	for name, c := range map[string]struct{ ratio, low, high float64 }{
		"true":          {1, 1, 1},
		"four times":    {4, 2.8, 5},
		"a third":       {1.0 / 3, 0.25, 0.45},
		"a fifth above": {1.2, 1, 1},
	} {
		var a bias.Average
		rng, now := rand.New(rand.NewPCG(1, 1)), time.Second
		for range 500 {
			now += 20 * time.Millisecond
			a.Add(c.ratio*math.Exp(0.5*rng.NormFloat64()), now)
		}
		if got := a.Factor(now); got < c.low || got > c.high {
			t.Errorf("%s: got a factor of %.2f, want %.2f to %.2f", name, got, c.low, c.high)
		}
		if got := a.Factor(now + 30*time.Second); got != 1 {
			t.Errorf("%s: after 30 s without samples: got a factor of %.2f, want 1", name, got)
		}
	}
}
