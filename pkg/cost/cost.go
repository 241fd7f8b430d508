// Package cost learns how much work requests are.
//
// # Usage
//
//	m := cost.New()
//	m.Observe(key, work, true, now)
//	c := m.Cost(key, now)                // the distribution of the work
//	left := cost.Remaining(c, age)       // of a request that has run for age
//
// Works are averaged by their logarithms, so that a few extreme ones have little effect. The
// distribution of a key counts by the number of its recent attempts and that of its route fills
// the rest, so a rare key is close to its route. Earlier attempts are forgotten within seconds.
package cost

import (
	"hash/maphash"
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
)

// Parameters of the model.
const (
	maxKeys      = 1024            // distributions in memory; the least recently used is replaced
	decayTime    = 5 * time.Second // the time constant within which earlier attempts are forgotten
	maxWeight    = 200             // of the earlier attempts of a key, so that busy keys follow a change more quickly
	priorWeight  = 20              // of the route's distribution, in attempts
	maxDeviation = 3               // standard deviations that one attempt may be away from the mean
	initialSigma = 0.5             // the spread until attempts show it
	minSigma     = 0.1             // limits how certain the model may be
	maxSigma     = 1.5             // limits the effect of servers that report falsely
)

// Model is a lagoon.CostModel. Create it with New.
type Model struct {
	seed    maphash.Seed
	index   map[uint64]int
	entries []entry
	newest  int // the entry that was used last
}

// entry is the distribution of one key. Its moments are those of the logarithm of the work in
// seconds.
type entry struct {
	key      uint64
	weight   float64 // the number of attempts, decayed
	mean     float64
	variance float64
	at       time.Duration
	newer    int // the next entry that was used after this one; the newest is followed by the oldest
	older    int // the next entry that was used before this one
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{seed: maphash.MakeSeed(), index: make(map[uint64]int, maxKeys), entries: make([]entry, 0, maxKeys)}
}

// Cost returns the distribution of the work of a request.
func (m *Model) Cost(key lagoon.CostKey, now time.Duration) lagoon.Cost {
	route, ok := m.find(m.hashRoute(key))
	if !ok {
		return lagoon.Cost{}
	}
	mean, variance := route.mean, route.variance
	if e, ok := m.find(m.hashKey(key)); ok {
		share := e.decayed(now) / (e.decayed(now) + priorWeight)
		mean += share * (e.mean - mean)
		variance += share * (e.variance - variance)
	}
	sigma := min(max(math.Sqrt(variance), minSigma), maxSigma)
	var c lagoon.Cost
	c.SetMean(time.Duration(math.Exp(mean+sigma*sigma/2) * float64(time.Second)))
	c.SetSpread(sigma)
	return c
}

// Observe adds the work of an attempt. One that was cancelled counts with the mean of the works
// that are longer than what was done of it.
func (m *Model) Observe(key lagoon.CostKey, work time.Duration, complete bool, now time.Duration) {
	if work <= 0 {
		return
	}
	if !complete {
		c := m.Cost(key, now)
		if c.Mean() == 0 || work < c.Mean() {
			return // says next to nothing
		}
		work += Remaining(c, work)
	}
	logWork := math.Log(work.Seconds())
	m.ensure(m.hashRoute(key)).add(logWork, now)
	m.ensure(m.hashKey(key)).add(logWork, now)
}

// Len returns the number of distributions in memory.
func (m *Model) Len() int { return len(m.entries) }

// hashRoute returns the hash of the route of a key.
func (m *Model) hashRoute(key lagoon.CostKey) uint64 { return maphash.String(m.seed, key.Route()) }

// hashKey returns the hash of a key. Services are the only part of it that is used in addition
// to the route, see docs/design/cost.md.
func (m *Model) hashKey(key lagoon.CostKey) uint64 {
	return m.hashRoute(key)*31 + maphash.String(m.seed, key.Service())
}

func (m *Model) find(key uint64) (*entry, bool) {
	i, ok := m.index[key]
	if !ok {
		return nil, false
	}
	m.unlink(i)
	m.link(i)
	return &m.entries[i], true
}

// ensure returns the entry of a key. It replaces the least recently used one if there are maxKeys
// already.
func (m *Model) ensure(key uint64) *entry {
	if e, ok := m.find(key); ok {
		return e
	}
	i := len(m.entries)
	if i < maxKeys {
		m.entries = append(m.entries, entry{})
	} else {
		i = m.entries[m.newest].newer // the oldest
		m.unlink(i)
		delete(m.index, m.entries[i].key)
	}
	m.index[key] = i
	m.entries[i] = entry{key: key}
	m.link(i)
	return &m.entries[i]
}

// unlink removes an entry from the order of use.
func (m *Model) unlink(i int) {
	e := &m.entries[i]
	m.entries[e.newer].older, m.entries[e.older].newer = e.older, e.newer
	if m.newest == i {
		m.newest = e.older
	}
}

// link adds an entry to the order of use as the newest.
func (m *Model) link(i int) {
	e := &m.entries[i]
	if len(m.entries) == 1 {
		e.newer, e.older, m.newest = i, i, i
		return
	}
	oldest := m.entries[m.newest].newer
	e.older, e.newer = m.newest, oldest
	m.entries[m.newest].newer, m.entries[oldest].older = i, i
	m.newest = i
}

func (e *entry) decayed(now time.Duration) float64 {
	return e.weight * math.Exp(-float64(now-e.at)/float64(decayTime))
}

func (e *entry) add(logWork float64, now time.Duration) {
	if e.weight == 0 {
		e.mean, e.variance = logWork, initialSigma*initialSigma
	}
	limit := maxDeviation * math.Sqrt(max(e.variance, minSigma*minSigma))
	deviation := min(max(logWork-e.mean, -limit), limit)
	e.weight, e.at = min(e.decayed(now), maxWeight)+1, now
	share := 1 / e.weight
	e.mean += share * deviation
	// The first attempts must not make the spread seem small, so the initial one counts as one.
	e.variance += 1 / (e.weight + 1) * (deviation*deviation - e.variance)
}

// Remaining returns the expected work left of a request that has run for age of its work.
func Remaining(c lagoon.Cost, age time.Duration) time.Duration {
	if age <= 0 || c.Mean() <= 0 || c.Spread() <= 0 {
		return c.Mean()
	}
	z := deviation(c, age)
	survival := upper(z)
	if survival < minSurvival {
		return age // of a log-normal distribution the rest grows with the age
	}
	return max(time.Duration(float64(c.Mean())*upper(z-c.Spread())/survival)-age, 0)
}

// minSurvival is the probability below which a request has run for longer than the distribution
// describes.
const minSurvival = 1e-6

// Survival returns the probability that a request is more work than age.
func Survival(c lagoon.Cost, age time.Duration) float64 {
	if age <= 0 || c.Mean() <= 0 || c.Spread() <= 0 {
		return 1
	}
	return max(upper(deviation(c, age)), minSurvival)
}

// deviation returns how many standard deviations the logarithm of age is above the mean.
func deviation(c lagoon.Cost, age time.Duration) float64 {
	return math.Log(float64(age)/float64(c.Mean()))/c.Spread() + c.Spread()/2
}

// upper returns the share of a normal distribution above z.
func upper(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
