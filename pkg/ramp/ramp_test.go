package ramp_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/ramp"
)

func TestLimitRisesWithSuccessesAndResets(t *testing.T) {
	var p ramp.Policy
	s := p.Start(4)
	successes := 0
	for ; s.Limit() < 4; successes++ {
		s = p.Observe(s, lagoon.SampleAtLimit, 4)
	}
	if got, want := successes, 36; got != want {
		t.Errorf("successes until the limit equals the slots: got %d, want %d", got, want)
	}
	s = p.Observe(s, lagoon.SampleCold, 4)
	if got, want := s.Limit(), 1; got != want {
		t.Errorf("limit after a cold sample: got %d, want %d", got, want)
	}
}

func TestLimitStaysWithoutSuccessesAtLimit(t *testing.T) {
	var p ramp.Policy
	s := p.Start(4)
	for range 1000 {
		s = p.Observe(s, lagoon.SampleOK, 4)
	}
	if got, want := s.Limit(), 1; got != want {
		t.Errorf("limit without successes at the limit: got %d, want %d", got, want)
	}
}

// For any sequence of samples, the limit is between 1 and the number of slots and
// rises by at most one per request.
func TestLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p ramp.Policy
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		s := p.Start(slots)
		for range rapid.IntRange(1, 300).Draw(t, "samples") {
			before := s.Limit()
			s = p.Observe(s, lagoon.Sample(rapid.IntRange(0, 3).Draw(t, "sample")), slots)
			if s.Limit() < 1 || s.Limit() > slots || s.Limit() > before+1 {
				t.Fatalf("got limit %d after %d, want 1 to %d in steps of one", s.Limit(), before, slots)
			}
		}
	})
}
