// Package metric defines the Prometheus metrics of a node.
//
// # Usage
//
//	m := metric.New()
//	m.ObserveQuery("archive-desk", answer, latency)
//	http.Handle("/metrics", m.Handler())
//
// docs/operate/metrics.md describes every metric.
package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lagoontrail/lagoon"
)

// Metrics holds the metrics of one node. Create it with New.
type Metrics struct {
	registry      *prometheus.Registry
	queries       *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	shards        *prometheus.CounterVec
	extraRequests *prometheus.CounterVec
}

// New returns metrics in a new Prometheus registry.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		queries:  newCounter("lagoontrail_queries_total", "Queries answered, by service and outcome.", "service", "outcome"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "lagoontrail_query_seconds",
			Help:    "Time from a query's arrival to its answer, by service, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 18), // 1 ms to 3.0 s
		}, []string{"service"}),
		shards:        newCounter("lagoontrail_shards_total", "Shards of answered queries, by service and whether they were covered.", "service", "covered"),
		extraRequests: newCounter("lagoontrail_extra_requests_total", "Requests sent beyond one per shard, by service and cause.", "service", "cause"),
	}
	m.registry.MustRegister(m.queries, m.latency, m.shards, m.extraRequests)
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// AddGauge adds a gauge whose value is read at each scrape.
func (m *Metrics) AddGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// AddCollectors adds metrics that other packages collect.
func (m *Metrics) AddCollectors(c ...prometheus.Collector) { m.registry.MustRegister(c...) }

// AddDecisionCounter adds a counter of decisions, by kind, whose values are read at
// each scrape.
func (m *Metrics) AddDecisionCounter(read func() map[string]uint64) {
	m.registry.MustRegister(decisionCounter{
		desc: prometheus.NewDesc("lagoontrail_decisions_total", "Decisions, by kind.", []string{"kind"}, nil),
		read: read,
	})
}

// decisionCounter implements prometheus.Collector.
type decisionCounter struct {
	desc *prometheus.Desc
	read func() map[string]uint64
}

// Describe sends the metric's descriptor.
func (c decisionCounter) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect reads and sends the counts.
func (c decisionCounter) Collect(out chan<- prometheus.Metric) {
	for kind, count := range c.read() {
		out <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(count), kind)
	}
}

// ObserveQuery records an answered query. The service label is empty for a service
// that is not declared, so that invalid input cannot add label values.
func (m *Metrics) ObserveQuery(service string, a lagoon.Answer, latency time.Duration) {
	if a.Outcome() == lagoon.OutcomeInvalid {
		service = ""
	}
	m.queries.WithLabelValues(service, a.Outcome().String()).Inc()
	m.latency.WithLabelValues(service).Observe(latency.Seconds())
	m.shards.WithLabelValues(service, "true").Add(float64(a.TotalShards() - len(a.Missing())))
	m.shards.WithLabelValues(service, "false").Add(float64(len(a.Missing())))
	m.extraRequests.WithLabelValues(service, "hedge").Add(float64(a.Hedges()))
	m.extraRequests.WithLabelValues(service, "retry").Add(float64(a.Retries()))
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
