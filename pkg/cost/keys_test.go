package cost_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// sample is what is known of a request before it is sent, and its work.
type sample struct {
	organisation string
	path         string
	size         int
	work         time.Duration
}

// drawSamples draws requests of a route with 83 organisations of unequal size, 2,000 paths and
// bodies of up to 4 KB. factor is what they tell of the mean work.
func drawSamples(seed uint64, n int, factor func(sample) float64) []sample {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]sample, n)
	for i := range out {
		s := sample{fmt.Sprint("org-", int(83*math.Pow(rng.Float64(), 2))), fmt.Sprint("/look/", int(2000*math.Pow(rng.Float64(), 3))), int(4096 * rng.Float64()), 0}
		s.work = time.Duration(factor(s) * float64(draw(rng, 20*time.Millisecond)))
		out[i] = s
	}
	return out
}

// explained returns the share of the variance of the logarithm of the work that a key predicts,
// out of sample: predictions are learned from the first half of the requests, with the keys'
// means drawn towards that of all by priorAttempts, and compared with the second half.
func explained(samples []sample, key func(sample) string) float64 {
	const priorAttempts = 20
	type sum struct{ count, total float64 }
	sums, all := map[string]sum{}, sum{}
	half := len(samples) / 2
	for _, s := range samples[:half] {
		x, k := math.Log(s.work.Seconds()), key(s)
		sums[k] = sum{sums[k].count + 1, sums[k].total + x}
		all = sum{all.count + 1, all.total + x}
	}
	mean, withKey, without := all.total/all.count, 0.0, 0.0
	for _, s := range samples[half:] {
		x, k := math.Log(s.work.Seconds()), sums[key(s)]
		predicted := (k.total + priorAttempts*mean) / (k.count + priorAttempts)
		withKey += (x - predicted) * (x - predicted)
		without += (x - mean) * (x - mean)
	}
	return 1 - withKey/without
}

// sampleKeys are what is known of a request before it is sent, beside its route.
var sampleKeys = map[string]func(sample) string{
	"organisation": func(s sample) string { return s.organisation },
	"path":         func(s sample) string { return s.path },
	"size":         func(s sample) string { return fmt.Sprint(int(math.Log2(float64(s.size) + 1))) },
}

// hashed returns a factor from 1/2 to 2 that depends on a text alone.
func hashed(text string) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, text)
	return math.Exp2(2*rand.New(rand.NewPCG(h.Sum64(), 3)).Float64() - 1)
}

// Guards against keys of the model that the works do not justify, and against an answer from a
// load that cannot give the other one: each of the keys is found where it determines the work,
// and none where, as in the reference deployment, the work depends on chance alone. Otherwise
// the measure itself would be wrong.
func TestWhichKeysPredictTheCost(t *testing.T) {
	for load, c := range map[string]struct {
		factor func(sample) float64
		found  string // the key that predicts the cost; empty for none
	}{
		"by chance":       {func(sample) float64 { return 1 }, ""},
		"by organisation": {func(s sample) float64 { return hashed(s.organisation) }, "organisation"},
		"by path":         {func(s sample) float64 { return hashed(s.path) }, "path"},
		"by size":         {func(s sample) float64 { return 0.5 + float64(s.size)/2048 }, "size"},
	} {
		samples := drawSamples(1, 40_000, c.factor)
		for name, key := range sampleKeys {
			share := explained(samples, key)
			t.Logf("%s: the %s explains %.3f of the variance", load, name, share)
			if got, want := share > 0.05, name == c.found; got != want {
				t.Errorf("%s: got that the %s predicts the cost %t (%.3f of the variance), want %t", load, name, got, share, want)
			}
		}
	}
}
