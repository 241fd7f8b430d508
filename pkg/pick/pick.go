// Package pick selects one of several replicas by expected response time, with the
// power of two random choices.
//
// # Usage
//
//	var p pick.Policy
//	i := p.Pick(candidates, rand.Uint64())
//
// The expected response time of a candidate is its recent latency times its load per
// slot. The better of two random candidates is selected, which prevents nodes with
// the same stale load data from all selecting the same server. Between two candidates
// that are nearly equal, one in the same zone is preferred.
package pick

import "github.com/lagoontrail/lagoon"

// costTolerance is the relative difference of costs below which two candidates are
// considered equal.
const costTolerance = 0.1

// Policy is a lagoon.Picker. It has no state; the zero value is usable.
type Policy struct{}

// Pick returns the index of the selected candidate, or -1 if there are none.
func (Policy) Pick(candidates []lagoon.Candidate, seed uint64) int {
	n := uint64(len(candidates))
	switch n {
	case 0:
		return -1
	case 1:
		return 0
	}
	a := seed % n
	b := (a + 1 + (seed>>32)%(n-1)) % n
	if better(candidates[b], candidates[a]) {
		return int(b)
	}
	return int(a)
}

// better reports whether x is preferred to y.
func better(x, y lagoon.Candidate) bool {
	cx, cy := cost(x), cost(y)
	if cx > cy*(1-costTolerance) && cx < cy*(1+costTolerance) {
		return x.SameZone() && !y.SameZone()
	}
	return cx < cy
}

// cost returns the expected response time in nanoseconds.
func cost(c lagoon.Candidate) float64 {
	limit := max(c.Limit(), 1)
	loadPerSlot := float64(c.Load()+1) / float64(limit)
	return float64(c.Latency()+1) * max(1, loadPerSlot)
}
