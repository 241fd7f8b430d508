// Package uptake provides the metrics of roll-outs: the share of the target version and the
// responses of both versions.
//
// # Usage
//
//	m.AddCollectors(uptake.New(node.PublishedView(), node.Tally()))
package uptake

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// Collector collects the metrics when they are read. Create it with New.
type Collector struct {
	view      *atomic.Pointer[view.View]
	tally     *tally.Tally
	share     *prometheus.Desc
	responses *prometheus.Desc
}

// New returns a collector that reads the shares in the published view and the counts.
func New(published *atomic.Pointer[view.View], counts *tally.Tally) *Collector {
	return &Collector{
		view: published, tally: counts,
		share:     prometheus.NewDesc("lagoontrail_rollout_share", "Share of a service's attempts that this node sends to the target version of an open roll-out.", []string{"service", "version"}, nil),
		responses: prometheus.NewDesc("lagoontrail_rollout_responses_total", "Responses in an open roll-out, since this node learned of it.", []string{"service", "route", "side", "bad"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	out <- c.share
	out <- c.responses
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	for service, t := range c.view.Load().VersionTerms() {
		out <- prometheus.MustNewConstMetric(c.share, prometheus.GaugeValue, t.Share(), service, t.Target())
		counts := c.tally.Read(service, t.Order())
		for _, r := range counts.Routes() {
			for _, v := range []struct {
				side, bad string
				n         uint64
			}{
				{"old", "false", r.Old() - r.OldBad()},
				{"old", "true", r.OldBad()},
				{"target", "false", r.Target() - r.TargetBad()},
				{"target", "true", r.TargetBad()},
			} {
				out <- prometheus.MustNewConstMetric(c.responses, prometheus.CounterValue, float64(v.n), service, r.Route(), v.side, v.bad)
			}
		}
	}
}
