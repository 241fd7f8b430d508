package dither_test

import (
	"math/rand/v2"
	"testing"

	"github.com/lagoontrail/lagoon/pkg/dither"
)

// Guards against a share that one counter exceeds, also when it changes.
func TestShareIsNotExceeded(t *testing.T) {
	var c dither.Counter
	allowed, picked := 0.0, 0
	for i := range 10000 {
		share := []float64{0.02, 0.06, 0, 0.1}[i/100%4]
		allowed += share
		due := c.Due(share)
		if due {
			picked++
		}
		c.Count(share, due)
		if float64(picked) > allowed+1e-6 {
			t.Fatalf("event %d: got %d picked, want at most %.2f", i, picked, allowed)
		}
	}
	if float64(picked) < allowed-2 {
		t.Errorf("got %d picked, want about %.0f", picked, allowed)
	}
}

// Guards against nodes with few requests each that together pick far too many or none.
func TestManyCountersWithFewEvents(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	picked := 0
	for range 4800 {
		c := dither.Start(rng.Float64())
		for range 10 {
			due := c.Due(0.06)
			if due {
				picked++
			}
			c.Count(0.06, due)
		}
	}
	if want := 4800 * 10 * 0.06; float64(picked) < 0.9*want || float64(picked) > 1.1*want {
		t.Errorf("got %d picked, want about %.0f", picked, want)
	}
}

func BenchmarkCounter(b *testing.B) {
	var c dither.Counter
	for range b.N {
		c.Count(0.06, c.Due(0.06))
	}
}
