// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package trfc_test

import (
	"testing"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/score"
)

// zoneless is the replica policy without its preference for the node's own zone.
type zoneless struct{ score.Policy }

func (p zoneless) Cost(v lagoon.ReplicaView) float64 {
	v.SetSameZone(true)
	return p.Policy.Cost(v)
}

// otherZoneShare returns the share of attempts that go to another availability zone.
func (b *bed) otherZoneShare() float64 {
	attempts, other := 0.0, 0.0
	for _, s := range b.nodes {
		for _, a := range s.attempts {
			attempts++
			if r := a.Replica(); r.Zone() != s.zone {
				other++
			}
		}
	}
	return other / attempts
}

// Guards against traffic between availability zones, which is billed, for a gain in time that is
// within the error of the estimate: with the margin, at least a
// quarter less of the attempts leave their zone, and the mean completion times stay within a
// twentieth.
func TestAttemptsStayInTheirZone(t *testing.T) {
	for seed := range uint64(3) {
		before, without, with := newBed(t, seed, 4), newModelBed(t, seed, 4), newModelBed(t, seed, 4)
		for _, s := range without.nodes {
			s.loop.SetReplicaPolicy(zoneless{})
		}
		for _, b := range []*bed{before, without, with} {
			b.run(seed, bedLength)
		}
		t.Logf("seed %d: attempts to another zone: %.3f without the model, %.3f without the margin, %.3f with it", seed, before.otherZoneShare(), without.otherZoneShare(), with.otherZoneShare())
		if got, limit := with.otherZoneShare(), 0.75*without.otherZoneShare(); got > limit {
			t.Errorf("seed %d: got a share of %.3f to another zone, want at most %.3f", seed, got, limit)
		}
		for _, k := range kinds {
			a, b := without.figuresOf(k), with.figuresOf(k)
			t.Logf("%s: without the margin %s", k.name, a)
			t.Logf("%s: with the margin    %s", k.name, b)
			if float64(b.mean) > 1.05*float64(a.mean) {
				t.Errorf("%s: got a mean of %s with the margin, want at most a twentieth more than %s", k.name, b.mean, a.mean)
			}
		}
	}
}
