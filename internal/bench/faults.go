package bench

import (
	"context"
	"time"

	"github.com/lagoontrail/lagoon/internal/simplt"
	"github.com/lagoontrail/lagoon/internal/simsrv"
)

// readLoad loads the first sharded service with reads.
func readLoad(r *run) {
	r.load.AddReadStream(r.cluster.Deployment().ReadServices()[0], 2*readsPerSecond)
}

// rushPerSecond is a rate of reads. Each replica of a group gets a third of it, which
// is far above the capacity of a cold server.
const rushPerSecond = 400.0

func rushLoad(r *run) { r.load.AddReadStream(r.cluster.Deployment().ReadServices()[0], rushPerSecond) }

// server returns a server of the first sharded service.
func (r *run) server(group, replica int) *simsrv.Server {
	return r.cluster.Servers()[serverName(r.cluster.Deployment().ReadServices()[0], group, replica)]
}

// straggler slows one server in each of three groups by a factor of 8: one in ten
// servers of the service.
func straggler(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	for group := range 3 {
		r.server(group, group%3).SetSlowdown(8)
	}
}

// coldStart restarts one server in each of three groups, then a whole group.
func coldStart(ctx context.Context, r *run) {
	for group := range 3 {
		if !sleep(ctx, time.Second) {
			return
		}
		r.server(group, 0).Restart(500 * time.Millisecond)
	}
	if !sleep(ctx, 2*time.Second) {
		return
	}
	for replica := range 3 {
		r.server(4, replica).Restart(500 * time.Millisecond)
	}
}

// relapse makes warm servers cold without a restart: one in each of four groups,
// then a whole group.
func relapse(ctx context.Context, r *run) {
	for group := range 4 {
		if !sleep(ctx, time.Second) {
			return
		}
		r.server(group, 0).ResetWarmth()
	}
	if !sleep(ctx, time.Second) {
		return
	}
	for replica := range 3 {
		r.server(5, replica).ResetWarmth()
	}
}

// setZone changes a zone's state through node i and records the time until the
// change is in force.
func (r *run) setZone(ctx context.Context, i int, zone, state string) bool {
	result, err := r.cluster.Change(ctx, i, "zone", zone, r.cluster.ZoneVersion(i, zone), map[string]string{"state": state, "reason": "bench"})
	if err != nil || !result.Accepted() {
		r.failf("set zone %s %s: %v %s", zone, state, err, result.Reason())
		return false
	}
	if !result.InForce() {
		r.failf("zone %s %s: not in force before the deadline", zone, state)
	}
	r.setValue("in force s", max(r.report.Value("in force s"), float64(result.InForceMS())/1000))
	return true
}

// recordLastNewWork records the time from since to the last new request that a server
// of the zone admitted.
func (r *run) recordLastNewWork(zone string, since time.Time) {
	last := 0.0
	cfg := r.cluster.Config(0)
	for _, service := range cfg.Services() {
		for _, spec := range service.Servers() {
			if spec.Zone() == zone {
				last = max(last, r.cluster.Servers()[spec.Name()].LastAdmitted().Sub(since).Seconds())
			}
		}
	}
	r.setValue("last new work in zone s", last)
}

// zoneOutAndBack takes a zone out, makes its servers cold and declares the zone in
// again through another node.
func zoneOutAndBack(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	zone := r.cluster.Deployment().Zones()[1]
	start := time.Now()
	if !r.setZone(ctx, 0, zone, "out") || !sleep(ctx, 4*time.Second) {
		return
	}
	r.recordLastNewWork(zone, start)
	for name, s := range r.cluster.Servers() {
		if r.zoneOfServer(name) == zone {
			s.RestartInPlace()
		}
	}
	r.setZone(ctx, 3, zone, "in")
}

func (r *run) zoneOfServer(name string) string {
	for _, service := range r.cluster.Config(0).Services() {
		for _, spec := range service.Servers() {
			if spec.Name() == name {
				return spec.Zone()
			}
		}
	}
	return ""
}

// versionChange adds new index versions to the servers one after the other, then
// removes the old ones in the same way.
func versionChange(ctx context.Context, r *run) {
	for _, snapshots := range [][]string{{"1.1", "1.2"}, {"1.2"}, {"1.2", "1.3"}, {"1.3"}} {
		for _, s := range r.cluster.Servers() {
			s.SetSnapshots(snapshots...)
			if !sleep(ctx, 10*time.Millisecond) {
				return
			}
		}
	}
}

// platformOutage makes the platform unavailable, then slow.
func platformOutage(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	r.cluster.Platform().SetFaults(simplt.Outage)
	if !sleep(ctx, 6*time.Second) {
		return
	}
	r.cluster.Platform().SetFaults(simplt.Slow)
	if !sleep(ctx, 3*time.Second) {
		return
	}
	r.cluster.Platform().SetFaults(0)
}

// lostReply makes the platform lose its replies to writes, for a second at a time.
func lostReply(ctx context.Context, r *run) {
	for range 4 {
		if !sleep(ctx, time.Second) {
			return
		}
		r.cluster.Platform().SetFaults(simplt.LostReplies)
		if !sleep(ctx, time.Second) {
			return
		}
		r.cluster.Platform().SetFaults(0)
	}
}

// pausedHolder pauses two nodes in turn for longer than a lease.
func pausedHolder(ctx context.Context, r *run) {
	for i := range 2 {
		if !sleep(ctx, time.Second) {
			return
		}
		r.cluster.SetPaused(i+1, true)
		sleep(ctx, 4*time.Second)
		r.cluster.SetPaused(i+1, false)
	}
}

// nodeLoss kills two nodes and restarts the first.
func nodeLoss(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	r.cluster.KillNode(1)
	if !sleep(ctx, 3*time.Second) {
		return
	}
	r.cluster.KillNode(2)
	if !sleep(ctx, 3*time.Second) {
		return
	}
	if err := r.cluster.StartNode(1); err != nil {
		r.failf("restart node 1: %v", err)
	}
}

// rollingRestart stops each node gracefully in turn and restarts it.
func rollingRestart(ctx context.Context, r *run) {
	for i := range r.cluster.Nodes() {
		if !sleep(ctx, time.Second) {
			return
		}
		r.cluster.StopNode(i)
		if err := r.cluster.StartNode(i); err != nil {
			r.failf("restart node %d: %v", i, err)
		}
	}
}

// cutOffNode takes a zone out while one node cannot reach the platform and another
// can reach neither the platform nor its peers.
func cutOffNode(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	r.cluster.SetPartition(4, false, true)
	r.cluster.SetPartition(5, true, true)
	zone := r.cluster.Deployment().Zones()[1]
	start := time.Now()
	if !r.setZone(ctx, 0, zone, "out") || !sleep(ctx, 5*time.Second) {
		return
	}
	r.recordLastNewWork(zone, start)
	r.cluster.SetPartition(4, false, false)
	r.cluster.SetPartition(5, false, false)
}

// zoneOutInOutage takes a zone out while the platform is slow, shortly before it
// becomes unavailable.
func zoneOutInOutage(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	zone := r.cluster.Deployment().Zones()[1]
	r.cluster.Platform().SetFaults(simplt.Slow)
	start := time.Now()
	accepted := make(chan bool, 1)
	go func() { accepted <- r.setZone(ctx, 0, zone, "out") }()
	if !sleep(ctx, 2500*time.Millisecond) {
		return
	}
	r.cluster.Platform().SetFaults(simplt.Outage)
	if !<-accepted || !sleep(ctx, 5*time.Second) {
		return
	}
	r.recordLastNewWork(zone, start)
	r.cluster.Platform().SetFaults(0)
}

// lossInColdStart restarts the servers of a group and kills the owner of one of them
// while their concurrency limits ramp up.
func lossInColdStart(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	for replica := range 3 {
		r.server(2, replica).Restart(300 * time.Millisecond)
	}
	if !sleep(ctx, time.Second) {
		return
	}
	for i := range r.cluster.Nodes() {
		if n := r.cluster.Node(i); n != nil && owns(n, serverName(r.cluster.Deployment().ReadServices()[0], 2, 1)) {
			r.cluster.KillNode(i)
		}
	}
}

// draining makes one server in each of three groups report that it is draining, and
// records the time until they admit the last new request.
func draining(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	start := time.Now()
	for group := range 3 {
		r.server(group, 0).Drain()
	}
	sleep(ctx, 5*time.Second)
	last := 0.0
	for group := range 3 {
		last = max(last, r.server(group, 0).LastAdmitted().Sub(start).Seconds())
	}
	r.setValue("last new work after drain s", last)
}

// hungServer makes one server so slow that its requests time out, and another break
// every connection.
func hungServer(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	r.server(0, 0).SetSlowdown(1000)
	r.server(1, 1).SetUnreachable(true)
	if !sleep(ctx, 5*time.Second) {
		return
	}
	r.server(0, 0).SetSlowdown(1)
	r.server(1, 1).SetUnreachable(false)
}
