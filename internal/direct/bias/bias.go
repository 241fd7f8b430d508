// Package bias compares the measured times of a server with the speed that it reports.
//
// # Usage
//
//	average.Add(measured/expected, now)
//	slowdown := reported * average.Factor(now)
package bias

import (
	"math"
	"time"
)

const (
	sampleWeight = 0.1             // of a new sample; the spread of works of 0.5 leaves a deviation of 0.11
	maxSample    = 1.5             // of the logarithm of one ratio, so that single pauses have little effect
	decayTime    = 5 * time.Second // without samples, so that a server that is avoided is tried again
	threshold    = 0.4             // of the logarithm of the average, more than three of its deviations; a smaller one is within the error of the estimates
)

// Average is the average of the ratios of measured to expected times, in logarithms. The zero
// value is no deviation.
type Average struct {
	mean float64
	at   time.Duration
}

// Add adds the ratio of a measured time to that expected from the report alone.
func (a *Average) Add(ratio float64, now time.Duration) {
	if ratio <= 0 {
		return
	}
	sample := min(max(math.Log(ratio), -maxSample), maxSample)
	a.mean, a.at = a.decayed(now)+sampleWeight*(sample-a.decayed(now)), now
}

// Factor returns the factor that corrects the reported slowdown. It is 1 unless the report is
// clearly false.
func (a *Average) Factor(now time.Duration) float64 {
	if mean := a.decayed(now); math.Abs(mean) > threshold {
		return math.Exp(mean)
	}
	return 1
}

func (a *Average) decayed(now time.Duration) float64 {
	return a.mean * math.Exp(-float64(now-a.at)/float64(decayTime))
}
