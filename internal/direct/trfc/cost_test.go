package trfc_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
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
