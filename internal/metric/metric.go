// Package metric defines the metrics of a node, for Prometheus.
//
// # Usage
//
//	m := metric.New()
//	m.Query("archive-desk", answer, took)
//	http.Handle("/metrics", m.Handler())
//
// docs/operate/metrics.md lists every metric with its meaning.
package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lagoontrail/lagoon"
)

// Metrics holds the metrics of one node. Make it with New.
type Metrics struct {
	registry *prometheus.Registry
	queries  *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	shards   *prometheus.CounterVec
	extra    *prometheus.CounterVec
}

// New returns the metrics in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		queries:  counter("lagoontrail_queries_total", "Queries answered, by service and outcome.", "service", "outcome"),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lagoontrail_query_seconds",
			Help:    "Time from a query's arrival until its answer, by service, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18),
		}, []string{"service"}),
		shards: counter("lagoontrail_shards_total", "Shards of answered queries, by service and whether they were covered.", "service", "covered"),
		extra:  counter("lagoontrail_extra_requests_total", "Requests sent beyond one per shard, by service and cause.", "service", "cause"),
	}
	m.registry.MustRegister(m.queries, m.seconds, m.shards, m.extra)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Gauge adds a gauge that is read when the metrics are scraped.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Add adds metrics that other parts of a node keep.
func (m *Metrics) Add(collectors ...prometheus.Collector) { m.registry.MustRegister(collectors...) }

// Kinds adds a counter of decisions by their kind, read when the metrics are
// scraped.
func (m *Metrics) Kinds(read func() map[string]uint64) {
	m.registry.MustRegister(kinds{
		desc: prometheus.NewDesc("lagoontrail_decisions_total", "Decisions, by kind.", []string{"kind"}, nil),
		read: read,
	})
}

// kinds collects counts by kind.
type kinds struct {
	desc *prometheus.Desc
	read func() map[string]uint64
}

// Describe and Collect make kinds a prometheus.Collector.
func (k kinds) Describe(out chan<- *prometheus.Desc) { out <- k.desc }

// Collect reads the counts.
func (k kinds) Collect(out chan<- prometheus.Metric) {
	for kind, n := range k.read() {
		out <- prometheus.MustNewConstMetric(k.desc, prometheus.CounterValue, float64(n), kind)
	}
}

// Query counts one answered query. The service label is empty for a service
// that is not declared, so that bad input cannot add label values.
func (m *Metrics) Query(service string, a lagoon.Answer, took time.Duration) {
	if a.Outcome() == lagoon.OutcomeInvalid {
		service = ""
	}
	m.queries.WithLabelValues(service, a.Outcome().String()).Inc()
	m.seconds.WithLabelValues(service).Observe(took.Seconds())
	m.shards.WithLabelValues(service, "true").Add(float64(a.TotalShards() - len(a.Missing())))
	m.shards.WithLabelValues(service, "false").Add(float64(len(a.Missing())))
	m.extra.WithLabelValues(service, "hedge").Add(float64(a.Hedges()))
	m.extra.WithLabelValues(service, "retry").Add(float64(a.Retries()))
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
