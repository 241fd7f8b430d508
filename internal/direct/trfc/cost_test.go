// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package trfc_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/cost"
)

// neverHedge is a policy that sends no second copy of a request.
type neverHedge struct{}

func (neverHedge) Hedge(lagoon.HedgeView) (bool, time.Duration) { return false, 0 }

// newOracleBed returns a test bed whose attempts go to the server that finishes them first.
func newOracleBed(t testing.TB, seed uint64) *bed {
	b := newBed(t, seed, 4)
	for _, s := range b.nodes {
		s.oracle = true
		s.loop.SetHedgePolicy(neverHedge{})
	}
	return b
}

// bedLength is the length of a replay. The figures do not include its warm-up.
const bedLength = 10 * time.Second

// Guards against a test bed in which the choice of servers makes no difference: an oracle that
// knows all costs and speeds must be clearly better than the choice without the cost model.
func TestOracleIsBetterThanChoiceWithoutCostModel(t *testing.T) {
	before, oracle := newBed(t, 1, 3), newOracleBed(t, 1)
	before.run(1, bedLength)
	oracle.run(1, bedLength)
	for _, k := range kinds {
		got, want := oracle.figuresOf(k), before.figuresOf(k)
		t.Logf("%s: without the model %s", k.name, want)
		t.Logf("%s: oracle            %s", k.name, got)
		if got.mean > want.mean*9/10 || got.p99 > want.p99*9/10 {
			t.Errorf("%s with the oracle: got %s, want a mean and a p99 a tenth below %s", k.name, got, want)
		}
	}
}

// newModelBed returns a test bed whose nodes use the cost model.
func newModelBed(t testing.TB, seed uint64, figures int) *bed {
	b := newBed(t, seed, figures)
	for _, s := range b.nodes {
		s.loop.SetCostModel(cost.New())
	}
	return b
}

// choices returns the servers of all attempts of a test bed, in order.
func (b *bed) choices() []string {
	var out []string
	for _, s := range b.nodes {
		for _, a := range s.attempts {
			r := a.Replica()
			out = append(out, a.ID()+" "+r.ID())
		}
	}
	return out
}

// Guards against a cost model that changes how servers are used which do not report their
// slowdown: each attempt must go to the same server at the same time as without the model.
func TestServersWithoutSlowdownAreChosenAsBefore(t *testing.T) {
	for _, reported := range []int{0, 3} {
		before, model := newBed(t, 1, reported), newModelBed(t, 1, reported)
		before.bursts, model.bursts = true, true
		before.run(1, 4*time.Second)
		model.run(1, 4*time.Second)
		got, want := model.choices(), before.choices()
		if len(want) < 1000 {
			t.Fatalf("%d figures: got %d attempts, want at least 1000 for a comparison", reported, len(want))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%d figures: got other choices with the model, want the same for all %d attempts", reported, len(want))
		}
	}
}

// Guards against a cost model that is no better than the choice without it: on the same seeds, the
// mean completion time of each kind of request, over all seeds, must be lower.
func TestCostModelIsBetterThanChoiceWithoutIt(t *testing.T) {
	sums := map[string][2]time.Duration{}
	for seed := range uint64(3) {
		before, model := newBed(t, seed, 4), newModelBed(t, seed, 4)
		before.run(seed, bedLength)
		model.run(seed, bedLength)
		for _, k := range kinds {
			a, b := before.figuresOf(k), model.figuresOf(k)
			t.Logf("%s: without the model %s", k.name, a)
			t.Logf("%s: with the model    %s", k.name, b)
			sums[k.name] = [2]time.Duration{sums[k.name][0] + a.mean, sums[k.name][1] + b.mean}
		}
	}
	for name, sum := range sums {
		if sum[1] >= sum[0] {
			t.Errorf("%s: sum of the means over the seeds: got %s with the model, want less than %s", name, sum[1], sum[0])
		}
	}
}
