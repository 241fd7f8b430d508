// Package probe asks the servers that this node owns for their reports.
//
// # Usage
//
//	systems = append(systems, probe.System{})
//
// It writes the status of servers. Only the owner probes a server, so the
// probes that a server sees do not grow with the number of nodes.
package probe

import (
	"context"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/receiv"
	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/world"
)

// Timing of probes.
const (
	interval     = 250 * time.Millisecond
	timeout      = 500 * time.Millisecond
	failedInARow = 2 // failed probes before a server counts as down
)

// System probes servers.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "probe" }

// Run starts the probes that are due.
func (s System) Run(w *world.World, now time.Duration) {
	for i := range w.Servers().Len() {
		row := w.Servers().At(i)
		if !row.Mine() || row.Probing() || (row.Probed() > 0 && now-row.Probed() < interval) {
			continue
		}
		row.SetProbing(true)
		row.SetProbed(now)
		s.start(w, row.Spec().Name(), row.Spec().Addr())
	}
}

func (s System) start(w *world.World, name, addr string) {
	upstream := w.Upstream()
	w.Spawn(timeout, func(ctx context.Context) func(*world.World) {
		report, err := upstream.Probe(ctx, addr)
		return func(w *world.World) {
			if row, ok := w.Servers().Find(name); ok {
				row.SetProbing(false)
				s.take(w, row, report, err)
			}
		}
	})
}

func (System) take(w *world.World, row *srvrs.Row, report lagoon.Report, err error) {
	if !row.Mine() {
		return
	}
	before := row.Status()
	status := before
	if err != nil {
		row.SetFailures(row.Failures() + 1)
		status.SetUp(before.Up() && row.Failures() < failedInARow)
	} else {
		row.SetFailures(0)
		status.SetUp(true)
		status.SetDraining(report.Draining())
		status.SetStart(report.Start())
		status.SetSnapshots(report.Snapshots())
	}
	row.SetStatus(status)
	if receiv.Same(before, status) {
		return
	}
	w.Touch()
	receiv.Changed(w, row)
	record(w, row.Spec().Name(), before, status, err)
}

// record writes the reason of a change that people care about.
func record(w *world.World, name string, before, status lagoon.ServerStatus, err error) {
	switch {
	case before.Up() && !status.Up():
		w.Act("server_down", name, "two probes in a row failed: "+err.Error())
	case !before.Up() && status.Up():
		w.Act("server_up", name, "a probe was answered")
	}
	if !before.Draining() && status.Draining() {
		w.Act("server_draining", name, "the server reports that it is leaving; it gets nothing new")
	}
}
