// Package pick chooses one of several replicas by expected waiting time.
//
// # Usage
//
//	var p pick.Policy
//	i := p.Pick(candidates, rand.Uint64())
//
// The expected time of a candidate is its recent latency times the number of
// turns before a slot is free. The picker compares two random candidates and
// takes the better one, which keeps many nodes with the same lagging view from
// all choosing the same server. Two that are nearly alike are told apart by
// zone.
package pick

import "github.com/lagoontrail/lagoon"

// alike is the share of difference below which two candidates count as equal.
const alike = 0.1

// Policy is a lagoon.Picker. The zero value works; it has no state.
type Policy struct{}

// Pick returns the position of the chosen candidate, or -1 when there is none.
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

func better(x, y lagoon.Candidate) bool {
	cx, cy := cost(x), cost(y)
	if cx > cy*(1-alike) && cx < cy*(1+alike) {
		return x.SameZone() && !y.SameZone()
	}
	return cx < cy
}

// cost returns the expected time in nanoseconds until the candidate answers.
func cost(c lagoon.Candidate) float64 {
	limit := max(c.Limit(), 1)
	turns := float64(c.Load()+1) / float64(limit)
	return float64(c.Latency()+1) * max(1, turns)
}
