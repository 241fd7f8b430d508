package canary_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon/pkg/canary"
)

// The simulated roll-out: counts arrive every step; all requests go to the target from shiftAt
// on for shiftSteps.
const (
	step       = 500 * time.Millisecond
	shiftAt    = 48 // of 120 steps in a minute
	shiftSteps = 6
	routes     = 3
)

// rollout is a simulated roll-out.
type rollout struct {
	perSecond float64                                       // requests per second
	usual     float64                                       // share of bad responses of the old version
	pauses    bool                                          // whether servers of both versions pause now and then
	worse     func(stepNo, route int, load float64) float64 // additional share of bad responses of the target
}

// run runs a roll-out and returns whether the version was rejected, and how many bad responses
// it had given by then.
func (r rollout) run(rng *rand.Rand) (rejected bool, bad int) {
	var t canary.Test
	share, owed := 0.0, make([]float64, routes)
	for i := range shiftAt + shiftSteps {
		share = []float64{0.02, 0.04, 0.06}[min(i/12, 2)]
		if i >= shiftAt {
			share = 1
		}
		load := 0.6 + 0.8*rng.Float64()
		for route := range routes {
			n := int(r.perSecond * load * step.Seconds() / routes)
			owed[route] += share * float64(n)
			target := min(int(owed[route]), n)
			owed[route] -= float64(target)
			oldBad := r.badOf(rng, n-target, 0)
			targetBad := r.badOf(rng, target, r.worse(i, route, load))
			bad += targetBad
			t.Observe(string(rune('a'+route)), step, uint64(n-target), uint64(oldBad), uint64(target), uint64(targetBad))
		}
		if t.Rejected() {
			return true, bad
		}
	}
	return false, bad
}

// Pauses of the servers: each of three servers of a version pauses 200 ms about every 4.5 s, so
// in a step it does so with a chance of one in nine, and then 40 % of its responses are slow.
const (
	servers     = 3
	pauseChance = 1.0 / 9
	pauseShare  = 0.4 / servers
)

// badOf returns how many of n responses are bad.
func (r rollout) badOf(rng *rand.Rand, n int, additional float64) int {
	share := r.usual + additional
	for range servers {
		if r.pauses && rng.Float64() < pauseChance {
			share += pauseShare
		}
	}
	bad := 0
	for range n {
		if rng.Float64() < share {
			bad++
		}
	}
	return bad
}

// Guards against good versions that are rolled back and bad ones that are not, or only after
// more than 50 bad responses. The rates are logged.
func TestErrorRates(t *testing.T) {
	const rounds = 1000
	none := func(int, int, float64) float64 { return 0 }
	cases := []struct {
		name     string
		rollout  rollout
		bad      bool
		maxError float64
	}{
		{"good", rollout{300, 0, false, none}, false, 0.002},
		{"good, usual share 0.5 %", rollout{300, 0.005, false, none}, false, 0.005},
		{"good, usual share 5 %", rollout{300, 0.05, false, none}, false, 0.005},
		{"good, little traffic", rollout{30, 0.02, false, none}, false, 0.005},
		{"good, much traffic", rollout{3000, 0.01, false, none}, false, 0.005},
		{"good, servers pause", rollout{300, 0.01, true, none}, false, 0.02},
		{"bad at once, 15 %", rollout{300, 0.01, false, func(int, int, float64) float64 { return 0.15 }}, true, 0.002},
		{"bad at once, 60 %", rollout{300, 0.01, false, func(int, int, float64) float64 { return 0.6 }}, true, 0.001},
		{"bad at once, servers pause", rollout{300, 0.01, true, func(int, int, float64) float64 { return 0.3 }}, true, 0.002},
		{"bad later", rollout{300, 0.01, false, func(i, _ int, _ float64) float64 {
			if i < 30 {
				return 0
			}
			return 0.3
		}}, true, 0.002},
		{"bad under load", rollout{300, 0.01, false, func(_, _ int, load float64) float64 {
			if load < 1.1 {
				return 0
			}
			return 0.4
		}}, true, 0.005},
		{"bad on one route", rollout{300, 0.01, false, func(_, route int, _ float64) float64 {
			if route > 0 {
				return 0
			}
			return 0.3
		}}, true, 0.002},
		{"bad, little traffic", rollout{60, 0.01, false, func(int, int, float64) float64 { return 0.4 }}, true, 0.005},
	}
	for i, c := range cases {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		wrong, atRejection := 0, []int{}
		for range rounds {
			rejected, bad := c.rollout.run(rng)
			if rejected != c.bad {
				wrong++
			}
			if rejected {
				atRejection = append(atRejection, bad)
			}
		}
		rate := float64(wrong) / rounds
		slices.Sort(atRejection)
		median, most := 0, 0
		if len(atRejection) > 0 {
			median, most = atRejection[len(atRejection)/2], atRejection[len(atRejection)*99/100]
		}
		t.Logf("%-28s wrong %.3f of %d; bad responses at rejection: median %d, 99th percentile %d", c.name, rate, rounds, median, most)
		if rate > c.maxError {
			t.Errorf("%s: got wrong verdicts in %.3f of the roll-outs, want at most %.3f", c.name, rate, c.maxError)
		}
		if c.bad && most >= 50 {
			t.Errorf("%s: got %d bad responses at rejection (99th percentile), want fewer than 50", c.name, most)
		}
	}
}

// Guards against a service whose old version fails as well and whose new one is blamed for it.
func TestFailuresOfBothVersionsAreNoEvidence(t *testing.T) {
	var test canary.Test
	for range 50 {
		test.Observe("browse", step, 100, 50, 10, 5)
	}
	if test.Rejected() {
		t.Errorf("got rejected (%s), want not", test.Evidence())
	}
}
