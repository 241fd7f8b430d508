package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/cost"
)

// check that Model implements the interface.
var _ lagoon.CostModel = (*cost.Model)(nil)

func key(route, service string) lagoon.CostKey {
	var k lagoon.CostKey
	k.SetRoute(route)
	k.SetService(service)
	return k
}

// draw returns a work of a log-normal distribution with a mean of 20 ms and a spread of 0.5, one
// in a hundred five times as long.
func draw(rng *rand.Rand, mean time.Duration) time.Duration {
	work := time.Duration(float64(mean) * math.Exp(0.5*rng.NormFloat64()-0.125))
	if rng.Float64() < 0.01 {
		work *= 5
	}
	return work
}

func checkMean(t *testing.T, what string, got, want time.Duration, tolerance float64) {
	t.Helper()
	if deviation := math.Abs(float64(got)/float64(want) - 1); deviation > tolerance {
		t.Errorf("%s: got a mean of %s, want %s within %.2f", what, got, want, tolerance)
	}
}

// Guards against a distribution that a few extreme works determine, or that misses the spread.
func TestDistributionIsLearned(t *testing.T) {
	m, rng, now := cost.New(), rand.New(rand.NewPCG(1, 1)), time.Second
	for range 2000 {
		now += 10 * time.Millisecond
		m.Observe(key("look", "a"), draw(rng, 20*time.Millisecond), true, now)
	}
	c := m.Cost(key("look", "a"), now)
	checkMean(t, "look", c.Mean(), 20*time.Millisecond, 0.15)
	if got := c.Spread(); got < 0.4 || got > 0.65 {
		t.Errorf("spread: got %.2f, want 0.5", got)
	}
}

// Guards against a model that stays with the old work when it shifts.
func TestShiftIsFollowedWithinSeconds(t *testing.T) {
	m, rng, now := cost.New(), rand.New(rand.NewPCG(2, 1)), time.Second
	for range 3000 {
		now += 10 * time.Millisecond
		m.Observe(key("look", "a"), draw(rng, 20*time.Millisecond), true, now)
	}
	for range 500 {
		now += 10 * time.Millisecond
		m.Observe(key("look", "a"), draw(rng, 80*time.Millisecond), true, now)
	}
	checkMean(t, "5 s after the shift", m.Cost(key("look", "a"), now).Mean(), 80*time.Millisecond, 0.25)
}

// Guards against one observation of a rare key that counts as much as all of its route.
func TestRareKeyIsCloseToItsRoute(t *testing.T) {
	m, rng, now := cost.New(), rand.New(rand.NewPCG(3, 1)), time.Second
	for range 1000 {
		now += 10 * time.Millisecond
		m.Observe(key("look", "a"), draw(rng, 20*time.Millisecond), true, now)
	}
	m.Observe(key("look", "b"), 400*time.Millisecond, true, now)
	checkMean(t, "after one observation", m.Cost(key("look", "b"), now).Mean(), 20*time.Millisecond, 0.35)
	for range 200 {
		m.Observe(key("look", "b"), draw(rng, 400*time.Millisecond), true, now)
	}
	if got, want := m.Cost(key("look", "b"), now).Mean(), 250*time.Millisecond; got < want {
		t.Errorf("after 200 observations: got a mean of %s, want at least %s", got, want)
	}
}

// Guards against memory that grows with the number of services, and against the eviction of
// keys that are in use.
func TestKeysAreLimited(t *testing.T) {
	m, now := cost.New(), time.Second
	for range 100 {
		m.Observe(key("look", "used"), 100*time.Millisecond, true, now)
	}
	for i := range 5000 {
		now += time.Millisecond
		m.Observe(key("look", fmt.Sprint(i)), 20*time.Millisecond, true, now)
		_ = m.Cost(key("look", "used"), now)
	}
	if got, limit := m.Len(), 1024; got > limit {
		t.Errorf("keys: got %d, want at most %d", got, limit)
	}
	if got, want := m.Cost(key("look", "used"), now).Mean(), 30*time.Millisecond; got < want {
		t.Errorf("mean of the key in use: got %s, want more than %s", got, want)
	}
}

// Guards against attempts cancelled by hedges that make a route seem cheap: what was done of
// them until then is less than their work.
func TestCancelledAttemptsDoNotLowerTheMean(t *testing.T) {
	m, rng, now := cost.New(), rand.New(rand.NewPCG(4, 1)), time.Second
	for range 2000 {
		now += 10 * time.Millisecond
		work := draw(rng, 20*time.Millisecond)
		m.Observe(key("look", "a"), min(work, 25*time.Millisecond), work <= 25*time.Millisecond, now)
	}
	checkMean(t, "all cancelled after 25 ms", m.Cost(key("look", "a"), now).Mean(), 20*time.Millisecond, 0.2)
}

// Guards against a server that reports falsely, so that its works seem a hundred times as long.
func TestFalseReportsHaveLittleEffect(t *testing.T) {
	m, rng, now := cost.New(), rand.New(rand.NewPCG(5, 1)), time.Second
	for i := range 3000 {
		now += 10 * time.Millisecond
		work := draw(rng, 20*time.Millisecond)
		if i%20 == 0 {
			work *= 100
		}
		m.Observe(key("look", "a"), work, true, now)
	}
	if got, limit := m.Cost(key("look", "a"), now).Mean(), 40*time.Millisecond; got > limit {
		t.Errorf("mean: got %s, want at most %s", got, limit)
	}
}

// Guards against a wrong rest of a request in progress: that of a log-normal work falls at first
// and grows again for those that run much longer than usual.
func TestRemainingWork(t *testing.T) {
	var c lagoon.Cost
	c.SetMean(20 * time.Millisecond)
	c.SetSpread(0.5)
	rng := rand.New(rand.NewPCG(6, 1))
	for _, age := range []time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond} {
		sum, longer := time.Duration(0), 0
		const draws = 400_000
		for range draws {
			if work := time.Duration(20e6 * math.Exp(0.5*rng.NormFloat64()-0.125)); work > age {
				sum += work - age
				longer++
			}
		}
		checkMean(t, fmt.Sprint("rest after ", age), cost.Remaining(c, age), sum/time.Duration(longer), 0.05)
		if got, want := cost.Survival(c, age), float64(longer)/draws; math.Abs(got-want) > 0.01 {
			t.Errorf("share that runs longer than %s: got %.3f, want %.3f", age, got, want)
		}
	}
	if got, limit := cost.Remaining(c, time.Hour), time.Hour; got <= 0 || got > limit {
		t.Errorf("rest after an hour: got %s, want a positive time of at most %s", got, limit)
	}
}

func BenchmarkObserve(b *testing.B) {
	m, now := cost.New(), time.Second
	k := key("look", "a")
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		m.Observe(k, 20*time.Millisecond, true, now)
	}
}

func BenchmarkCost(b *testing.B) {
	m, now := cost.New(), time.Second
	k := key("look", "a")
	m.Observe(k, 20*time.Millisecond, true, now)
	b.ReportAllocs()
	for b.Loop() {
		_ = m.Cost(k, now)
	}
}
