package uptake_test

import (
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/internal/direct/terms"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/uptake"
)

// Guards against metrics that are inconsistent with their descriptions or count a response twice.
func TestCollect(t *testing.T) {
	offered := &terms.Terms{}
	offered.SetTarget("v2")
	offered.SetOrder(5)
	offered.SetShare(0.06)
	v := &view.View{}
	v.SetVersionTerms(map[string]*terms.Terms{"desk": offered})
	var published atomic.Pointer[view.View]
	published.Store(v)
	var counts tally.Tally
	counts.Begin("desk", 5, false)
	counts.Ended("desk", "browse", true, true, true)
	counts.Ended("desk", "browse", false, true, false)
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(uptake.New(&published, &counts)); err != nil {
		t.Fatal(err)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sums := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			sums[family.GetName()] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	if got := sums["lagoontrail_rollout_responses_total"]; got != 2 {
		t.Errorf("responses: got %v, want 2", got)
	}
	if got := sums["lagoontrail_rollout_share"]; got != 0.06 {
		t.Errorf("share: got %v, want 0.06", got)
	}
}
