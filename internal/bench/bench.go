// Package bench runs scenarios: a load on a whole deployment with failures, and
// the checks of the promises on what came of it.
//
// # Usage
//
//	report, err := bench.Run(ctx, options)   // a bopts.Options
//	if len(report.Broken()) > 0 { ... }
//
// The bounds come from the promises and the target, never from a measurement.
// Every scenario is bounded in time and load and stops by itself.
package bench

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/benchr"
	"github.com/lagoontrail/lagoon/internal/bopts"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/loadg"
	"github.com/lagoontrail/lagoon/internal/node"
	"github.com/lagoontrail/lagoon/internal/outcm"
	"github.com/lagoontrail/lagoon/internal/rig"
	"github.com/lagoontrail/lagoon/internal/trfc/eject"
)

// Bounds from the target and the promises.
const (
	p99Bound     = 65.0 // milliseconds
	zoneBound    = 5.0  // seconds until the last new work in a zone taken out
	inForceBound = 5.0  // seconds until a configuration is in force
	extraBound   = 5.0  // percent of extra requests while stragglers are fought
)

// Limits of a run.
const (
	readyLimit = 25 * time.Second
	ttlSeconds = 1
	warmUp     = 2 * time.Second // of load, before counting and before the script
)

// run is one scenario under way.
type run struct {
	o      bopts.Options
	s      scenario
	rig    *rig.Rig
	load   *loadg.Generator
	report *benchr.Report
	began  time.Time
	length time.Duration
}

// Names returns the names of the scenarios.
func Names() []string {
	var out []string
	for name := range scenarios() {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Run runs one scenario and returns its report. An error means that it could
// not be run; broken promises are in the report.
func Run(ctx context.Context, o bopts.Options) (*benchr.Report, error) {
	s, ok := scenarios()[o.Scenario()]
	if !ok {
		return nil, errors.Errorf("scenario %q is unknown; allowed are %v", o.Scenario(), Names())
	}
	if o.Deployment() == "" {
		o.SetDeployment(s.deployment)
	}
	d, err := deploy.Named(o.Deployment())
	if err != nil {
		return nil, err
	}
	prepare, err := policy(o.Policy())
	if err != nil {
		return nil, err
	}
	r := &run{o: o, s: s, report: benchr.New(o.Scenario(), o.Policy(), o.Seed()), length: s.length}
	if o.Seconds() > 0 {
		r.length = time.Duration(o.Seconds()) * time.Second
	}
	rg, stop, err := rig.Start(d, o.Nodes(), ttlSeconds, o.Log(), prepare)
	if err != nil {
		return nil, err
	}
	defer stop()
	r.rig = rg
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	r.play(ctx)
	r.measure()
	r.check()
	return r.report, nil
}

// policy returns what changes the lanes of a node for a policy.
func policy(name string) (func(*node.Node), error) {
	switch name {
	case "now", "":
		return nil, nil
	case eject.ByTimer, eject.ByEscalation:
		return each(func(l *lane.Lane) { l.SetEjection(name) }), nil
	case "first":
		return each(func(l *lane.Lane) {
			l.SetPicker(first{})
			l.SetHedgePolicy(never{})
			l.SetEjection(eject.ByTimer)
		}), nil
	case "baseline":
		return each(func(l *lane.Lane) {
			l.SetUnlimited(true)
			l.SetPicker(first{})
			l.SetHedgePolicy(never{})
		}), nil
	}
	return nil, errors.Errorf("policy %q is unknown; allowed are now, first, baseline, timer and escalating", name)
}

func each(change func(*lane.Lane)) func(*node.Node) {
	return func(n *node.Node) {
		for _, l := range n.Lanes() {
			change(l)
		}
	}
}

// first is the project's first picker: a random replica.
type first struct{}

// Pick returns a random position.
func (first) Pick(candidates []lagoon.Candidate, seed uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	return int(seed % uint64(len(candidates)))
}

// never is the project's first hedge policy: no hedges.
type never struct{}

// Hedge returns that nothing is ever hedged.
func (never) Hedge(lagoon.HedgeView) (bool, time.Duration) { return false, 0 }

// ready waits until the deployment serves, and makes its servers cold if the
// scenario wants that.
func (r *run) ready(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return r.rig.Ready(limited)
}

// play runs the load and the script.
func (r *run) play(ctx context.Context) {
	r.load = loadg.New(r.rig.Addrs(), r.rig.Deployment().Zones(), r.o.Seed())
	defer r.load.Close()
	r.load.SetWarmUp(warmUp)
	r.s.load(r)
	before := r.rig.Platform().Counts()
	limited, cancel := context.WithTimeout(ctx, warmUp+r.length)
	defer cancel()
	r.began = time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if r.s.script != nil && sleep(limited, warmUp) {
			r.s.script(limited, r)
		}
	}()
	r.load.Run(limited)
	<-done
	calls := 0
	for kind, n := range r.rig.Platform().Counts() {
		calls += n - before[kind]
	}
	r.report.Set("platform calls/s", float64(calls)/(warmUp+r.length).Seconds())
}

// measure puts what the load and the servers saw into the report.
func (r *run) measure() {
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
		r.report.Note(n, reason)
	}
	r.measureServers(t)
}

func (r *run) measureServers(t *outcm.Tally) {
	over, falls, conns, refused := 0, 0, 0, 0
	runs := map[string]int{}
	writes := r.rig.Deployment().Writes()
	for name, s := range r.rig.Servers() {
		over += s.Over()
		falls += s.Falls()
		conns += s.ConnOver()
		refused += s.Refused()
		if len(name) > len(writes) && name[:len(writes)] == writes {
			for body, n := range s.Runs() {
				runs[body] += n
			}
		}
	}
	r.report.Set("over slots", float64(over))
	r.report.Set("over connections", float64(conns))
	r.report.Set("server refusals", float64(refused))
	r.report.Set("falls", float64(falls))
	doubled, lost, falsely := 0, 0, 0
	for body, outcome := range t.Writes() {
		n := runs[body]
		if n > 1 {
			doubled++
		}
		if outcome == lagoon.OutcomeAnswered && n == 0 {
			lost++
		}
		if outcome == lagoon.OutcomeNotRun && n > 0 {
			falsely++
		}
	}
	r.report.Set("doubled", float64(doubled))
	r.report.Set("lost", float64(lost))
	r.report.Set("false not_run", float64(falsely))
	r.report.Set("mixed snapshots", float64(t.Mixed()))
	r.report.Set("untrue coverage", float64(t.Untrue()))
	r.report.Set("cut off", float64(t.CutOff()))
}

// check compares the report with the promises.
func (r *run) check() {
	for _, name := range []string{"over slots", "over connections", "falls", "doubled", "lost", "false not_run", "mixed snapshots", "untrue coverage"} {
		r.report.AtMost(name, 0)
	}
	if r.s.cutOff {
		r.report.AtMost("cut off", 0)
	}
	for name, bound := range r.s.bounds {
		r.report.AtMost(name, bound)
	}
	if r.s.after != nil {
		r.s.after(r)
	}
}

// note records a value of the script.
func (r *run) note(name string, value float64) { r.report.Set(name, value) }

// fail records that the script could not do what it had to.
func (r *run) fail(format string, args ...any) { r.report.Break(fmt.Sprintf(format, args...)) }
