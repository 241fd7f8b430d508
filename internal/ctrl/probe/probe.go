// Package probe monitors the servers that this node owns.
//
// # Usage
//
//	systems = append(systems, probe.System{})
//
// It writes the status of servers. Only the owner probes a server, so the probe
// rate at a server does not depend on the number of nodes.
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
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	downThreshold = 2 // consecutive failures before a server is reported down
)

// System probes servers.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "probe" }

// Run starts the probes that are due.
func (s System) Run(w *world.World, now time.Duration) {
	for i := range w.Servers().Len() {
		row := w.Servers().At(i)
		if !row.Owned() || row.Probing() || (row.ProbedAt() > 0 && now-row.ProbedAt() < probeInterval) {
			continue
		}
		row.SetProbing(true)
		row.SetProbedAt(now)
		s.startProbe(w, row.Spec().Name(), row.Spec().Addr())
	}
}

func (s System) startProbe(w *world.World, name, addr string) {
	upstream := w.Upstream()
	w.Spawn(probeTimeout, func(ctx context.Context) func(*world.World) {
		report, err := upstream.Probe(ctx, addr)
		return func(w *world.World) {
			if row, ok := w.Servers().Find(name); ok {
				row.SetProbing(false)
				s.applyReport(w, row, report, err)
			}
		}
	})
}

func (System) applyReport(w *world.World, row *srvrs.Row, report lagoon.Report, err error) {
	if !row.Owned() {
		return
	}
	previous := row.Status()
	status := previous
	if err != nil {
		row.SetFailedProbes(row.FailedProbes() + 1)
		status.SetUp(previous.Up() && row.FailedProbes() < downThreshold)
	} else {
		row.SetFailedProbes(0)
		status.SetUp(true)
		status.SetDraining(report.Draining())
		status.SetStartID(report.StartID())
		status.SetSnapshots(report.Snapshots())
	}
	row.SetStatus(status)
	if receiv.SameStatus(previous, status) {
		return
	}
	w.InvalidateView()
	receiv.MarkStatusChanged(w, row)
	recordTransition(w, row.Spec().Name(), previous, status, err)
}

// recordTransition logs changes of a server between up, down and draining.
func recordTransition(w *world.World, name string, previous, status lagoon.ServerStatus, err error) {
	switch {
	case previous.Up() && !status.Up():
		w.RecordAction("server_down", name, "two consecutive probes failed: "+err.Error())
	case !previous.Up() && status.Up():
		w.RecordAction("server_up", name, "a probe succeeded")
	}
	if !previous.Draining() && status.Draining() {
		w.RecordAction("server_draining", name, "the server reports that it is draining; it receives no new requests")
	}
}
