package meter_test

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/meter"
)

// router rules the same on every request.
type router struct{ ruling lagoon.Response }

func (r router) Route(context.Context, lagoon.Request) lagoon.Response { return r.ruling }

func TestRulingsAreMeasured(t *testing.T) {
	var ruling lagoon.Response
	ruling.SetOutcome(lagoon.RequestGathered)
	ruling.SetParts([]any{"a", "b"})
	ruling.SetMissingShards(1)
	m := meter.New(router{ruling})
	registry := prometheus.NewRegistry()
	registry.MustRegister(m.Collectors()...)
	for range 3 {
		if got, want := m.Route(context.Background(), lagoon.Request{}).Outcome(), lagoon.RequestGathered; got != want {
			t.Errorf("end: got %s, want %s", got, want)
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
