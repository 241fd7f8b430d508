// Package meter counts and times what a router rules.
//
// # Usage
//
//	m := meter.New(router)
//	registry.MustRegister(m.Collectors()...)
//	front := front.New(m, ...)
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

// Buckets of the histogram: from 1 ms, under the quickest answer, by a factor of
// 1.6 up to 7.6 s, over the longest time that callers wait.
const (
	firstBucket = 0.001 // seconds
	growth      = 1.6
	buckets     = 20
)

// Meter is a lagoon.Router that measures another one. Make it with New.
type Meter struct {
	router  lagoon.Router
	seconds *prometheus.HistogramVec
	shards  *prometheus.CounterVec
}

// New returns a meter before a router.
func New(router lagoon.Router) *Meter {
	return &Meter{
		router: router,
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lagoontrail_request_seconds",
			Help:    "Time from a request's arrival until its ruling, by how it ended, in seconds.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, growth, buckets),
		}, []string{"end"}),
		shards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lagoontrail_request_shards_total",
			Help: "Shards of gathered answers, by whether they were covered.",
		}, []string{"covered"}),
	}
}

// Collectors returns the metrics.
func (m *Meter) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.seconds, m.shards}
}

// Route decides on one request.
func (m *Meter) Route(ctx context.Context, a lagoon.Request) lagoon.Response {
	began := time.Now()
	r := m.router.Route(ctx, a)
	m.seconds.WithLabelValues(r.Outcome().String()).Observe(time.Since(began).Seconds())
	if r.Outcome() == lagoon.RequestGathered {
		m.shards.WithLabelValues(strconv.FormatBool(true)).Add(float64(len(r.Parts())))
		m.shards.WithLabelValues(strconv.FormatBool(false)).Add(float64(r.MissingShards()))
	}
	return r
}
