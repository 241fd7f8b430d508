package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// Rates of tourLoad.
const (
	tourReadsPerSecond  = 30
	tourWritesPerSecond = 5
)

func tourLoad(r *run) {
	r.load.AddReadStream(r.cluster.Deployment().ReadServices()[0], tourReadsPerSecond)
	r.load.AddWriteStream(r.cluster.Deployment().WriteService(), tourWritesPerSecond)
	r.load.SetResendWrites(true)
}

// progressf prints a line on the progress of the tour, if the options have a writer
// for it.
func (r *run) progressf(format string, args ...any) {
	if r.opts.Progress() != nil {
		fmt.Fprintf(r.opts.Progress(), "%6.1fs  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// tour takes a zone out and back in, restarts a server and stops a node, under load.
func tour(ctx context.Context, r *run) {
	r.sendSample(ctx)
	zone := r.cluster.Deployment().Zones()[1]
	start := time.Now()
	if !r.setZone(ctx, 0, zone, "out") {
		return
	}
	r.progressf("declared zone %s out; in force on every node after %.0f ms", zone, 1000*r.report.Value("in force s"))
	if !sleep(ctx, 3*time.Second) {
		return
	}
	r.recordLastNewWork(zone, start)
	r.progressf("its servers admitted their last new request %.2f s after the declaration", r.report.Value("last new work in zone s"))
	if !r.setZone(ctx, 1, zone, "in") {
		return
	}
	r.progressf("declared zone %s in; the concurrency limits of its servers ramp up from 1", zone)
	if !sleep(ctx, time.Second) {
		return
	}
	server := r.server(0, 0)
	server.Restart(500 * time.Millisecond)
	r.progressf("restarted server %s; it starts cold", serverName(r.cluster.Deployment().ReadServices()[0], 0, 0))
	if !sleep(ctx, 2*time.Second) {
		return
	}
	r.cluster.StopNode(r.cluster.Nodes() - 1)
	r.progressf("stopped node %s gracefully; it released its servers to other nodes", r.cluster.NodeName(r.cluster.Nodes()-1))
	sleep(ctx, time.Second)
	r.printActions()
}

// sendSample sends one query and prints its answer.
func (r *run) sendSample(ctx context.Context) {
	client, stop := caller.New(r.cluster.Deployment().Zones()[0], r.cluster.Addrs()...)
	defer stop()
	var q lagoon.Query
	q.SetService(r.cluster.Deployment().ReadServices()[0])
	q.SetBody([]byte("red coat 2019"))
	q.SetIdempotent(true)
	answer, err := client.Query(ctx, q)
	if err != nil {
		r.failf("sample query: %v", err)
		return
	}
	r.progressf("sample query to %s: %s by %s, %d of %d shards, snapshot %d.%d", q.Service(), answer.Outcome(), answer.Node(), len(answer.Parts()), answer.TotalShards(), answer.Snapshot().MapVersion(), answer.Snapshot().IndexVersion())
}

// printActions prints the first node's actions of tourKinds, and then its changes of
// concurrency limits, with their reasons.
func (r *run) printActions() {
	n := r.cluster.Node(0)
	if r.opts.Progress() == nil || n == nil {
		return
	}
	fmt.Fprintf(r.opts.Progress(), "\nactions of %s, with their reasons:\n", r.cluster.NodeName(0))
	n.Control().Do(func(w *world.World) {
		for i := range w.Actions().Len() {
			a := w.Actions().At(i)
			if tourKinds[a.Kind()] {
				fmt.Fprintf(r.opts.Progress(), "  %s  %-20s %-18s %s\n", a.Time().Format("15:04:05.000"), a.Kind(), a.Subject(), a.Reason())
			}
		}
	})
	for _, d := range n.Journal().Find(func(d lagoon.Decision) bool { return tourKinds[d.Kind()] && d.Kind() == "server_limit_changed" }) {
		fmt.Fprintf(r.opts.Progress(), "  %s  %-20s %-18s %s\n", d.Time().Format("15:04:05.000"), d.Kind(), d.Subject(), d.Reason())
	}
	fmt.Fprintln(r.opts.Progress())
}

// tourKinds holds the kinds of actions and decisions that the tour prints.
var tourKinds = map[string]bool{
	"zone_out": true, "zone_in": true, "placement_written": true, "placement_adopted": true, "node_seen": true,
	"config_adopted": true, "server_down": true, "server_limit_changed": true, "lease_held": true, "lease_lost": true,
}
