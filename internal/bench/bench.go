// Package bench runs scenarios: it puts load on a complete deployment, injects
// faults and checks the results against the guarantees of docs/PROMISES.md.
//
// # Usage
//
//	report, err := bench.Run(ctx, options)   // a bopts.Options
//	if len(report.Violations()) > 0 { ... }
//
// Limits come from the guarantees and the latency target, never from
// measurements. Every scenario ends by itself; its duration and load are bounded.
package bench

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/bopts"
	"github.com/lagoontrail/lagoon/internal/clustr"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/loadg"
	"github.com/lagoontrail/lagoon/internal/node"
	"github.com/lagoontrail/lagoon/internal/report"
	"github.com/lagoontrail/lagoon/internal/tally"
	"github.com/lagoontrail/lagoon/internal/trfc/eject"
)

// Limits from the latency target and the guarantees.
const (
	maxP99Millis          = 65.0
	maxLastNewWorkSeconds = 5.0 // from a zone's removal to the last new request in it
	maxInForceSeconds     = 5.0 // from accepting a configuration to its use on every node
	maxExtraLoadPercent   = 5.0 // hedges and retries, with slow servers
)

const (
	readyTimeout      = 25 * time.Second
	addressTTLSeconds = 1               // how long callers keep the nodes' addresses
	warmUpTime        = 2 * time.Second // load before queries count and the script starts
)

// run is the state of one running scenario.
type run struct {
	opts      bopts.Options
	scenario  scenario
	cluster   *clustr.Cluster
	load      *loadg.Generator
	report    *report.Report
	startedAt time.Time
	duration  time.Duration
}

// Names returns the sorted names of the scenarios.
func Names() []string {
	var names []string
	for name := range scenarios() {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs one scenario and returns its report. It returns an error if the
// scenario could not run; violated guarantees are in the report.
func Run(ctx context.Context, opts bopts.Options) (*report.Report, error) {
	s, ok := scenarios()[opts.Scenario()]
	if !ok {
		return nil, errors.Errorf("scenario %q is unknown; must be one of %v", opts.Scenario(), Names())
	}
	if opts.Deployment() == "" {
		opts.SetDeployment(s.deployment)
	}
	d, err := deploy.Named(opts.Deployment())
	if err != nil {
		return nil, err
	}
	prepare, err := nodeSetup(opts.Policy())
	if err != nil {
		return nil, err
	}
	r := &run{opts: opts, scenario: s, report: report.New(opts.Scenario(), opts.Policy(), opts.Seed()), duration: s.duration}
	if opts.Seconds() > 0 {
		r.duration = time.Duration(opts.Seconds()) * time.Second
	}
	cluster, stop, err := clustr.Start(d, opts.Nodes(), addressTTLSeconds, opts.Log(), prepare)
	if err != nil {
		return nil, err
	}
	defer stop()
	r.cluster = cluster
	if err := r.waitReady(ctx); err != nil {
		return nil, err
	}
	r.runLoad(ctx)
	r.collect()
	r.check()
	return r.report, nil
}

// nodeSetup returns the function that sets a load-balancing policy on the lanes of a
// node, or nil for the default policy "now". "first" is the policy of the initial
// version: random replicas, no hedging and a constant cooldown after an ejection.
// "baseline" is a plain fan-out to random replicas without limits. "timer" and
// "escalating" change only when ejected servers are restored.
func nodeSetup(policy string) (func(*node.Node), error) {
	switch policy {
	case "now", "":
		return nil, nil
	case eject.ByTimer, eject.ByEscalation:
		return forEachLane(func(l *lane.Lane) { l.SetRestoreCondition(policy) }), nil
	case "first":
		return forEachLane(func(l *lane.Lane) {
			l.SetPicker(randomPicker{})
			l.SetHedgePolicy(noHedging{})
			l.SetRestoreCondition(eject.ByTimer)
		}), nil
	case "baseline":
		return forEachLane(func(l *lane.Lane) {
			l.SetUnlimited(true)
			l.SetPicker(randomPicker{})
			l.SetHedgePolicy(noHedging{})
		}), nil
	}
	return nil, errors.Errorf("policy %q is unknown; must be now, first, baseline, timer or escalating", policy)
}

func forEachLane(change func(*lane.Lane)) func(*node.Node) {
	return func(n *node.Node) {
		for _, l := range n.Lanes() {
			change(l)
		}
	}
}

// randomPicker picks a random replica, as the initial version of the node did.
type randomPicker struct{}

// Pick returns the index of a random candidate, or -1 if there are none.
func (randomPicker) Pick(candidates []lagoon.Candidate, seed uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	return int(seed % uint64(len(candidates)))
}

// noHedging never hedges, as the initial version of the node did.
type noHedging struct{}

// Hedge returns false.
func (noHedging) Hedge(lagoon.HedgeView) (bool, time.Duration) { return false, 0 }

// waitReady waits until the deployment is ready to serve.
func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return r.cluster.WaitReady(ctx)
}

// runLoad runs the load and the scenario's script until the end of the run.
func (r *run) runLoad(ctx context.Context) {
	r.load = loadg.New(r.cluster.Addrs(), r.cluster.Deployment().Zones(), r.opts.Seed())
	defer r.load.Close()
	r.load.SetWarmUp(warmUpTime)
	r.scenario.load(r)
	callsBefore := r.cluster.Platform().Counts()
	ctx, cancel := context.WithTimeout(ctx, warmUpTime+r.duration)
	defer cancel()
	r.startedAt = time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if r.scenario.script != nil && sleep(ctx, warmUpTime) {
			r.scenario.script(ctx, r)
		}
	}()
	r.load.Run(ctx)
	<-done
	calls := 0
	for kind, n := range r.cluster.Platform().Counts() {
		calls += n - callsBefore[kind]
	}
	r.report.Set("platform calls/s", float64(calls)/(warmUpTime+r.duration).Seconds())
}

// collect adds the figures of the load and of the servers to the report.
func (r *run) collect() {
	t := r.load.Tally()
	r.report.Set("queries", float64(t.Total()))
	r.report.Set("p50 ms", t.Quantile(50))
	r.report.Set("p99 ms", t.Quantile(99))
	r.report.Set("p99.9 ms", t.Quantile(99.9))
	r.report.Set("write p99 ms", t.WriteQuantile(99))
	r.report.Set("coverage %", 100*t.Coverage())
	r.report.Set("hedges %", t.HedgePercent())
	r.report.Set("retries %", t.RetryPercent())
	r.report.Set("extra load %", t.HedgePercent()+t.RetryPercent())
	for _, outcome := range []string{"answered", "partial", "not_run", "unknown", "error"} {
		r.report.Set(outcome, float64(t.Count(outcome)))
	}
	for reason, n := range t.Reasons() {
		r.report.AddNote(n, reason)
	}
	r.collectServers(t)
}

// collectServers adds the figures of the servers to the report, and compares the
// outcome of each write with the number of times that the servers ran it.
func (r *run) collectServers(t *tally.Tally) {
	excessRequests, crashes, excessConns, refusals := 0, 0, 0, 0
	runs := map[string]int{}
	writeService := r.cluster.Deployment().WriteService()
	for name, s := range r.cluster.Servers() {
		excessRequests += s.ExcessRequests()
		crashes += s.Crashes()
		excessConns += s.ExcessConns()
		refusals += s.RefusedRequests()
		if len(name) > len(writeService) && name[:len(writeService)] == writeService {
			for body, n := range s.RunsByBody() {
				runs[body] += n
			}
		}
	}
	r.report.Set("over slots", float64(excessRequests))
	r.report.Set("over connections", float64(excessConns))
	r.report.Set("server refusals", float64(refusals))
	r.report.Set("falls", float64(crashes))
	doubled, lost, falseNotRun := 0, 0, 0
	for body, outcome := range t.WriteOutcomes() {
		n := runs[body]
		if n > 1 {
			doubled++
		}
		if outcome == lagoon.OutcomeAnswered && n == 0 {
			lost++
		}
		if outcome == lagoon.OutcomeNotRun && n > 0 {
			falseNotRun++
		}
	}
	r.report.Set("doubled", float64(doubled))
	r.report.Set("lost", float64(lost))
	r.report.Set("false not_run", float64(falseNotRun))
	r.report.Set("mixed snapshots", float64(t.MixedSnapshots()))
	r.report.Set("untrue coverage", float64(t.CoverageErrors()))
	r.report.Set("cut off", float64(t.NoAnswer()))
}

// check compares the figures with the limits.
func (r *run) check() {
	for _, name := range []string{"over slots", "over connections", "falls", "doubled", "lost", "false not_run", "mixed snapshots", "untrue coverage"} {
		r.report.AtMost(name, 0)
	}
	if r.scenario.mustAnswer {
		r.report.AtMost("cut off", 0)
	}
	for name, limit := range r.scenario.limits {
		r.report.AtMost(name, limit)
	}
	if r.scenario.extraChecks != nil {
		r.scenario.extraChecks(r)
	}
}

func (r *run) setValue(name string, value float64) { r.report.Set(name, value) }

// failf records a violation that the script found, or a step of the script that failed.
func (r *run) failf(format string, args ...any) { r.report.AddViolation(fmt.Sprintf(format, args...)) }
