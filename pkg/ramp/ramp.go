// Package ramp raises the load on a server that has just started, by what the
// server has shown that it bears and never by the clock.
//
// # Usage
//
//	var p ramp.Policy
//	s := p.Start(slots)                                // one request at once
//	s = p.Observe(s, lagoon.SampleFull, slots)         // after each request
//	if inflight < s.Limit() { send() }
//
// A server starts at one request at once. A run of proofs, requests answered
// in the usual time while the whole limit was in use, raises the limit by one.
// One sign of cold takes the limit back to one. The limit that failed is tried
// again only after twice as many proofs as before, so that a server whose
// report misleads is not pushed over again and again.
package ramp

import "github.com/lagoontrail/lagoon"

// proofsPerStep is the number of requests answered at the full limit before
// the limit is raised.
const proofsPerStep = 12

// maxHoldoff bounds the additional proofs asked for after relapses.
const maxHoldoff = 96

// Policy is a lagoon.RampPolicy. The zero value works; it has no state.
type Policy struct{}

// Start returns the state of a server that has just started: one request.
func (Policy) Start(int) lagoon.RampState {
	var s lagoon.RampState
	s.SetLimit(1)
	return s
}

// Observe returns the state after one more finished request. slots is the
// server's declared number of slots, which the limit never passes.
func (p Policy) Observe(s lagoon.RampState, sample lagoon.Sample, slots int) lagoon.RampState {
	switch sample {
	case lagoon.SampleRestart:
		return p.Start(slots)
	case lagoon.SampleCold:
		return relapse(s)
	case lagoon.SampleFull:
		return prove(s, slots)
	}
	return s
}

func relapse(s lagoon.RampState) lagoon.RampState {
	if s.Limit() > 1 || s.Holdoff() == 0 {
		s.SetRelapses(s.Relapses() + 1)
		s.SetCeiling(max(s.Limit(), 2))
		s.SetHoldoff(min(maxHoldoff, proofsPerStep<<min(s.Relapses(), 3)))
	}
	s.SetLimit(1)
	s.SetProven(0)
	return s
}

func prove(s lagoon.RampState, slots int) lagoon.RampState {
	if s.Limit() >= slots {
		return s
	}
	s.SetProven(s.Proven() + 1)
	if s.Proven() < needed(s) {
		return s
	}
	s.SetLimit(s.Limit() + 1)
	s.SetProven(0)
	if s.Ceiling() != 0 && s.Limit() >= s.Ceiling() {
		s.SetCeiling(0)
		s.SetHoldoff(0)
	}
	return s
}

// needed returns the proofs that the next step takes.
func needed(s lagoon.RampState) int {
	if s.Ceiling() != 0 && s.Limit()+1 >= s.Ceiling() {
		return max(proofsPerStep, s.Holdoff())
	}
	return proofsPerStep
}
