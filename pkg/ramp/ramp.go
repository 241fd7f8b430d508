// Package ramp limits the concurrent requests to a server that has just started. The
// limit depends on how the server handled earlier requests, not on elapsed time.
//
// # Usage
//
//	var p ramp.Policy
//	s := p.Start(slots)                                // limit 1
//	s = p.Observe(s, lagoon.SampleAtLimit, slots)      // after each request
//	if inflight < s.Limit() { send() }
//
// The limit starts at one request. It is raised by one after successesPerStep
// successes, which are requests with typical latency while the limit was in use. A
// cold sample resets it to one. The limit that failed is tried again only after twice
// as many successes as before, so that a server with misleading reports is not
// overloaded repeatedly.
package ramp

import "github.com/lagoontrail/lagoon"

// successesPerStep is the number of successes needed to raise the limit by one.
const successesPerStep = 12

// maxBackoff limits the number of successes needed to try a failed limit again.
const maxBackoff = 96

// Policy is a lagoon.RampPolicy. It has no state; the zero value is usable.
type Policy struct{}

// Start returns the state of a server that has just started, with limit 1.
func (Policy) Start(int) lagoon.RampState {
	var s lagoon.RampState
	s.SetLimit(1)
	return s
}

// Observe returns the state after one more finished request. slots is the declared
// number of slots of the server, which the limit never exceeds.
func (p Policy) Observe(s lagoon.RampState, sample lagoon.Sample, slots int) lagoon.RampState {
	switch sample {
	case lagoon.SampleRestart:
		return p.Start(slots)
	case lagoon.SampleCold:
		return reset(s)
	case lagoon.SampleAtLimit:
		return recordSuccess(s, slots)
	}
	return s
}

// reset returns the state after a cold sample.
func reset(s lagoon.RampState) lagoon.RampState {
	if s.Limit() > 1 || s.Backoff() == 0 {
		s.SetResets(s.Resets() + 1)
		s.SetCeiling(max(s.Limit(), 2))
		s.SetBackoff(min(maxBackoff, successesPerStep<<min(s.Resets(), 3)))
	}
	s.SetLimit(1)
	s.SetSuccesses(0)
	return s
}

// recordSuccess returns the state after a success at the limit.
func recordSuccess(s lagoon.RampState, slots int) lagoon.RampState {
	if s.Limit() >= slots {
		return s
	}
	s.SetSuccesses(s.Successes() + 1)
	if s.Successes() < successesNeeded(s) {
		return s
	}
	s.SetLimit(s.Limit() + 1)
	s.SetSuccesses(0)
	if s.Ceiling() != 0 && s.Limit() >= s.Ceiling() {
		s.SetCeiling(0)
		s.SetBackoff(0)
	}
	return s
}

// successesNeeded returns the number of successes needed for the next step.
func successesNeeded(s lagoon.RampState) int {
	if s.Ceiling() != 0 && s.Limit()+1 >= s.Ceiling() {
		return max(successesPerStep, s.Backoff())
	}
	return successesPerStep
}
