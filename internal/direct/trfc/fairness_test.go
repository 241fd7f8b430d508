// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package trfc_test

import (
	"testing"
	"time"
)

// Guards against an organisation that sends eight times its usual load and costs the others what
// they get on a day without it, and against one, or a kind of request, that gets nothing.
func TestOneOrganisationCostsOthersLittle(t *testing.T) {
	t.Parallel()
	others := func(c *call) bool { return isSettled(c) && c.organisation != 0 }
	for seed := range uint64(3) {
		calm, burst := newLoadTest(t, seed+1), newLoadTest(t, seed+1)
		loadPatterns[1].apply(burst)
		calm.run()
		burst.run()
		before, after := calm.count(others), burst.count(others)
		t.Logf("seed %d: others %s; without the burst %s", seed+1, after, before)
		if got, want := after.served(), 0.97*before.served(); got < want {
			t.Errorf("seed %d: others served: got %.3f, want at least %.3f", seed+1, got, want)
		}
		all := burst.count(isSettled)
		for kind, name := range kindNames {
			if got, want := burst.count(func(c *call) bool { return isSettled(c) && c.kind == kind }).served(), all.served()/4; got < want {
				t.Errorf("seed %d: kind %s served: got %.3f, want at least %.3f", seed+1, name, got, want)
			}
		}
		for organisation := range usualShares {
			if got, want := burst.count(func(c *call) bool { return isSettled(c) && c.organisation == organisation }).served(), all.served()/4; got < want {
				t.Errorf("seed %d: organisation %d served: got %.3f, want at least %.3f", seed+1, organisation, got, want)
			}
		}
	}
}

// Guards against callers that ignore Retry-After and come back every 20 ms: they cost the others
// no more than callers that wait, within 0.03.
func TestImpatientCallersCostOthersNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		patient, impatient := newLoadTest(t, seed+1), newLoadTest(t, seed+1)
		for _, x := range []*loadTest{patient, impatient} {
			loadPatterns[1].apply(x)
		}
		impatient.returnWait = 20 * time.Millisecond
		impatient.impatient = func(_, organisation int) bool { return organisation == 0 }
		patient.run()
		impatient.run()
		of := func(x *loadTest, heavy bool) counts {
			return x.count(func(c *call) bool { return isSettled(c) && (c.organisation == 0) == heavy })
		}
		t.Logf("seed %d: others %s; with patient callers %s", seed+1, of(impatient, false), of(patient, false))
		t.Logf("seed %d: organisation 0 %s; with patient callers %s", seed+1, of(impatient, true), of(patient, true))
		if got, want := of(impatient, false).served(), of(patient, false).served()-0.03; got < want {
			t.Errorf("seed %d: others served: got %.3f, want at least %.3f", seed+1, got, want)
		}
	}
}
