package meter_test

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/meter"
)

// fixedRouter returns the same response to every request.
type fixedRouter struct{ response lagoon.Response }

func (r fixedRouter) Route(context.Context, lagoon.Request) lagoon.Response { return r.response }

func TestRouteUpdatesMetrics(t *testing.T) {
	var response lagoon.Response
	response.SetOutcome(lagoon.RequestGathered)
	response.SetParts([]any{"a", "b"})
	response.SetMissingShards(1)
	m := meter.New(fixedRouter{response})
	registry := prometheus.NewRegistry()
	registry.MustRegister(m.Collectors()...)
	for range 3 {
		if got, want := m.Route(context.Background(), lagoon.Request{}).Outcome(), lagoon.RequestGathered; got != want {
			t.Errorf("outcome: got %s, want %s", got, want)
		}
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatalf("gather: %v", err)
	}
	got := map[string]float64{}
	for _, f := range families {
		for _, metric := range f.GetMetric() {
			key := f.GetName() + " " + metric.GetLabel()[0].GetValue()
			if h := metric.GetHistogram(); h != nil {
				got[key] = float64(h.GetSampleCount())
			} else {
				got[key] = metric.GetCounter().GetValue()
			}
		}
	}
	want := map[string]float64{
		"lagoontrail_request_seconds gathered":   3,
		"lagoontrail_request_shards_total true":  6,
		"lagoontrail_request_shards_total false": 3,
	}
	for key, n := range want {
		if got[key] != n {
			t.Errorf("%s: got %v, want %v", key, got[key], n)
		}
	}
}
