// Package meter measures the latency and shard coverage of a router's responses.
//
// # Usage
//
//	m := meter.New(router)
//	registry.MustRegister(m.Collectors()...)
//	handler := front.New(m, maxBodyBytes, stopping)
//
// docs/operate/metrics.md lists the metrics.
package meter

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lagoontrail/lagoon"
)

// Buckets of the latency histogram, which grow by a factor of 1.6 from 1 ms to 7.6 s.
// The fastest response takes more than 1 ms; no caller waits for 7.6 s.
const (
	firstBucketSeconds = 0.001
	bucketGrowth       = 1.6
	bucketCount        = 20
)

// Meter implements lagoon.Router by measuring another router. Create it with New.
type Meter struct {
	router  lagoon.Router
	latency *prometheus.HistogramVec
	shards  *prometheus.CounterVec
}

// New returns a meter that passes requests to router.
func New(router lagoon.Router) *Meter {
	return &Meter{
		router: router,
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lagoontrail_request_seconds",
			Help:    "Time from a request's arrival to its response, by outcome, in seconds.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketGrowth, bucketCount),
		}, []string{"end"}),
		shards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lagoontrail_request_shards_total",
			Help: "Shards of gathered responses, by whether they were covered.",
		}, []string{"covered"}),
	}
}

// Collectors returns the metrics, to be registered.
func (m *Meter) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.latency, m.shards}
}

// Route routes one request and records its metrics.
func (m *Meter) Route(ctx context.Context, request lagoon.Request) lagoon.Response {
	start := time.Now()
	response := m.router.Route(ctx, request)
	m.latency.WithLabelValues(response.Outcome().String()).Observe(time.Since(start).Seconds())
	if response.Outcome() == lagoon.RequestGathered {
		m.shards.WithLabelValues(strconv.FormatBool(true)).Add(float64(len(response.Parts())))
		m.shards.WithLabelValues(strconv.FormatBool(false)).Add(float64(response.MissingShards()))
	}
	return response
}
