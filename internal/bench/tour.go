package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// Loads of the tour, in queries a second.
const (
	tourReads  = 30
	tourWrites = 5
)

func tourLoad(r *run) {
	r.load.SetReads(r.rig.Deployment().Reads()[0], tourReads)
	r.load.SetWrites(r.rig.Deployment().Writes(), tourWrites)
	r.load.SetResend(true)
}

// say tells the reader of the demo what happens.
func (r *run) say(format string, args ...any) {
	if r.o.Story() != nil {
		fmt.Fprintf(r.o.Story(), "%6.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// tour takes a zone out and brings it back, restarts a server cold and stops a
// node, under load.
func tour(ctx context.Context, r *run) {
	r.ask(ctx)
	zone := r.rig.Deployment().Zones()[1]
	began := time.Now()
	if !r.setZone(ctx, 0, zone, "out") {
		return
	}
	r.say("zone %s was declared out; in force on every node after %.0f ms", zone, 1000*r.report.Value("in force s"))
	if !sleep(ctx, 3*time.Second) {
		return
	}
	r.lastNewWork(zone, began)
	r.say("its servers got their last new request %.2f s after the declaration", r.report.Value("last new work in zone s"))
	if !r.setZone(ctx, 1, zone, "in") {
		return
	}
	r.say("zone %s was declared in; its servers climb from one request at once", zone)
	if !sleep(ctx, time.Second) {
		return
	}
	server := r.server(0, 0)
	server.Restart(500 * time.Millisecond)
	r.say("server %s was restarted and is cold", serverName(r.rig.Deployment().Reads()[0], 0, 0))
	if !sleep(ctx, 2*time.Second) {
		return
	}
	r.rig.StopNode(r.rig.Nodes() - 1)
	r.say("node %s was stopped gracefully; its servers were handed over", r.rig.NodeName(r.rig.Nodes()-1))
	sleep(ctx, time.Second)
	r.tell()
}

// ask sends one query and shows its answer.
func (r *run) ask(ctx context.Context) {
	c, stop := caller.New(r.rig.Deployment().Zones()[0], r.rig.Addrs()...)
	defer stop()
	var q lagoon.Query
	q.SetService(r.rig.Deployment().Reads()[0])
	q.SetBody([]byte("red coat 2019"))
	q.SetIdempotent(true)
	a, err := c.Query(ctx, q)
	if err != nil {
		r.fail("the first query failed: %v", err)
		return
	}
	r.say("one query on %s: %s by %s, %d of %d shards, snapshot %d.%d", q.Service(), a.Outcome(), a.Node(), len(a.Parts()), a.TotalShards(), a.Snapshot().MapVersion(), a.Snapshot().IndexVersion())
}

// tell shows what the first node did about zones, placement and the restarted
// server, with the reasons.
func (r *run) tell() {
	n := r.rig.Node(0)
	if r.o.Story() == nil || n == nil {
		return
	}
	fmt.Fprintf(r.o.Story(), "\nactions of %s, with their reasons:\n", r.rig.NodeName(0))
	n.Control().Do(func(w *world.World) {
		for i := range w.Actions().Len() {
			a := w.Actions().At(i)
			if toldInTour[a.Kind()] {
				fmt.Fprintf(r.o.Story(), "  %s  %-20s %-18s %s\n", a.Time().Format("15:04:05.000"), a.Kind(), a.Subject(), a.Reason())
			}
		}
	})
	for _, d := range n.Journal().Find(func(d lagoon.Decision) bool { return toldInTour[d.Kind()] && d.Kind() == "server_limit_changed" }) {
		fmt.Fprintf(r.o.Story(), "  %s  %-20s %-18s %s\n", d.Time().Format("15:04:05.000"), d.Kind(), d.Subject(), d.Reason())
	}
	fmt.Fprintln(r.o.Story())
}

var toldInTour = map[string]bool{
	"zone_out": true, "zone_in": true, "placement_written": true, "placement_adopted": true, "node_seen": true,
	"config_adopted": true, "server_down": true, "server_limit_changed": true, "lease_held": true, "lease_lost": true,
}
