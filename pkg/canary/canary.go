// Package canary tests whether a new version of a service responds worse than the old ones.
//
// # Usage
//
//	var t canary.Test
//	t.Observe("browse", elapsed, old, oldBad, target, targetBad) // the responses since the last call
//	if t.Rejected() { log(t.Evidence()) }
//
// Each route has a sequential test (a CUSUM of log-likelihood ratios) of the share of bad
// responses of the target version against that of the old versions on the same route at about
// the same time. The sum starts again at zero, so that a version that turns bad after many good
// responses is noticed as soon as one that is bad at once.
package canary

import (
	"fmt"
	"math"
	"time"
)

// Parameters of the test. TestErrorRates measures what they lead to.
const (
	threshold     = 10.0 // log-likelihood ratio at which the target is rejected
	maxStep       = 5.5  // the most that the responses of stepTime add, so that one pause of a server rejects nothing
	stepTime      = 500 * time.Millisecond
	doubtShare    = 1.0 / 3          // of the threshold, above which the target is in doubt
	worseFactor   = 3.0              // the share of bad responses that is tested for, relative to that of the old versions
	minBadShare   = 0.05             // the least share of bad responses that is tested for
	minUsualShare = 0.005            // the least share assumed for the old versions; a few failures occur in any service
	maxBadShare   = 0.95             // the greatest share that is tested for
	fewOld        = 10               // responses of the old versions below which their share is not known
	unknownShare  = 0.3              // the most that is assumed for the old versions then
	usualMargin   = 2.5              // standard errors added to the share of the old versions, for the noise of its estimate
	maxCluster    = 0.2              // the most that is assumed for the correlation of bad responses within an observation
	usualDecay    = 10 * time.Second // time constant of the old versions' share, so that both are compared under the same load
)

// Test is the test of one version. The zero value is ready to use.
type Test struct {
	routes    map[string]*route
	target    uint64
	targetBad uint64
}

type route struct {
	old, oldBad       float64 // decayed
	excess, pairs     float64 // decayed; their ratio is the correlation of the old versions' bad responses within an observation
	target, targetBad uint64
	sum               float64
}

// Observe adds the responses of a route since the last call, and how many of them were bad.
func (t *Test) Observe(name string, elapsed time.Duration, old, oldBad, target, targetBad uint64) {
	if t.routes == nil {
		t.routes = map[string]*route{}
	}
	r, ok := t.routes[name]
	if !ok {
		r = &route{}
		t.routes[name] = r
	}
	if old > 0 { // otherwise the last known share is kept, while all requests go to the target
		kept := math.Exp(-float64(elapsed) / float64(usualDecay))
		r.old = r.old*kept + float64(old)
		r.oldBad = r.oldBad*kept + float64(oldBad)
		r.excess, r.pairs = r.excess*kept, r.pairs*kept
		r.addVariance(float64(old), float64(oldBad))
	}
	t.target += target
	t.targetBad += targetBad
	r.target += target
	r.targetBad += targetBad
	usual := r.usualShare()
	worse := min(max(worseFactor*usual, minBadShare), maxBadShare)
	if worse <= usual {
		return
	}
	good := float64(target) - float64(targetBad)
	ratio := float64(targetBad)*math.Log(worse/usual) + good*math.Log((1-worse)/(1-usual))
	r.sum = max(0, r.sum+min(ratio/r.inflation(float64(target)), maxStep*max(1, float64(elapsed)/float64(stepTime))))
}

// addVariance adds an observation of the old versions to the estimate of the correlation. Bad
// responses come in clusters, for example while a server pauses.
func (r *route) addVariance(n, bad float64) {
	p := (r.oldBad + 0.5) / (r.old + 1)
	if n < 2 {
		return
	}
	deviation := bad - n*p
	r.excess += deviation*deviation/(n*p*(1-p)) - 1
	r.pairs += n - 1
}

// inflation returns how much larger the variance of the number of bad responses among n is than
// that of independent ones.
func (r *route) inflation(n float64) float64 {
	if r.pairs == 0 || r.excess <= 0 {
		return 1
	}
	return 1 + max(n-1, 0)*min(r.excess/r.pairs, maxCluster)
}

// usualShare returns an upper estimate of the old versions' share of bad responses.
func (r *route) usualShare() float64 {
	estimate := (r.oldBad + 0.5) / (r.old + 1)
	share := max(minUsualShare, estimate+usualMargin*math.Sqrt(estimate*(1-estimate)/(r.old+1)))
	if r.old < fewOld {
		share = min(share, unknownShare)
	}
	return share
}

// worst returns the route with the strongest evidence.
func (t *Test) worst() (name string, r *route) {
	r = &route{}
	for candidate, c := range t.routes {
		if c.sum > r.sum || (c.sum == r.sum && c.sum > 0 && candidate < name) {
			name, r = candidate, c
		}
	}
	return name, r
}

// Rejected reports whether the target version is bad.
func (t *Test) Rejected() bool {
	_, r := t.worst()
	return r.sum >= threshold
}

// InDoubt reports whether the evidence speaks against the target version, although not enough
// to reject it.
func (t *Test) InDoubt() bool {
	_, r := t.worst()
	return r.sum >= doubtShare*threshold
}

// Responses returns the number of responses of the target version.
func (t *Test) Responses() uint64 { return t.target }

// Evidence describes the counts behind the state of the test.
func (t *Test) Evidence() string {
	text := fmt.Sprintf("%d of %d responses of the target are bad", t.targetBad, t.target)
	name, r := t.worst()
	if r.sum == 0 {
		return text + "; no route speaks against it"
	}
	return fmt.Sprintf("%s; route %s has the strongest evidence, %.1f of %.1f: %d of %d bad, usual share %.4f", text, name, r.sum, threshold, r.targetBad, r.target, r.usualShare())
}
