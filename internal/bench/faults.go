package bench

import (
	"context"
	"time"

	"github.com/lagoontrail/lagoon/internal/stdplt"
	"github.com/lagoontrail/lagoon/internal/stdsrv"
)

// readsOnly is a load of reads on the first service with many shards.
func readsOnly(r *run) {
	r.load.SetReads(r.rig.Deployment().Reads()[0], 2*readRate)
}

// rushRate is a read load, in queries a second, of which a third of a group is
// far more than a cold server bears.
const rushRate = 400.0

func rush(r *run) { r.load.SetReads(r.rig.Deployment().Reads()[0], rushRate) }

// server returns the server of a group and replica of the first read service.
func (r *run) server(group, replica int) *stdsrv.Server {
	return r.rig.Servers()[serverName(r.rig.Deployment().Reads()[0], group, replica)]
}

// straggler makes one server in ten slow.
func straggler(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	for group := range 3 {
		r.server(group, group%3).SetSlow(8)
	}
}

// coldStart restarts single servers, then all three of one group.
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

// relapse makes warm servers cold without a restart.
func relapse(ctx context.Context, r *run) {
	for group := range 4 {
		if !sleep(ctx, time.Second) {
			return
		}
		r.server(group, 0).Relapse()
	}
	if !sleep(ctx, time.Second) {
		return
	}
	for replica := range 3 {
		r.server(5, replica).Relapse()
	}
}

// setZone declares a zone's state through node i and notes how long it took to
// be in force.
func (r *run) setZone(ctx context.Context, i int, zone, state string) bool {
	o, err := r.rig.Change(ctx, i, "zone", zone, r.rig.ZoneVersion(i, zone), map[string]string{"state": state, "reason": "bench"})
	if err != nil || !o.Accepted() {
		r.fail("zone %s could not be declared %s: %v %s", zone, state, err, o.Reason())
		return false
	}
	if !o.InForce() {
		r.fail("zone %s %s was not in force in time", zone, state)
	}
	r.note("in force s", max(r.report.Value("in force s"), float64(o.InForceMS())/1000))
	return true
}

// lastNewWork notes how long after a time a server of a zone still got work.
func (r *run) lastNewWork(zone string, since time.Time) {
	last := 0.0
	cfg := r.rig.Config(0)
	for _, service := range cfg.Services() {
		for _, spec := range service.Servers() {
			if spec.Zone() == zone {
				last = max(last, r.rig.Servers()[spec.Name()].LastNew().Sub(since).Seconds())
			}
		}
	}
	r.note("last new work in zone s", last)
}

func zoneOutAndBack(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	zone := r.rig.Deployment().Zones()[1]
	began := time.Now()
	if !r.setZone(ctx, 0, zone, "out") || !sleep(ctx, 4*time.Second) {
		return
	}
	r.lastNewWork(zone, began)
	for name, s := range r.rig.Servers() {
		if r.zoneOfServer(name) == zone {
			s.MakeCold()
		}
	}
	r.setZone(ctx, 3, zone, "in")
}

func (r *run) zoneOfServer(name string) string {
	for _, service := range r.rig.Config(0).Services() {
		for _, spec := range service.Servers() {
			if spec.Name() == name {
				return spec.Zone()
			}
		}
	}
	return ""
}

// versionChange brings new index versions to servers one after the other, and
// takes the old ones away.
func versionChange(ctx context.Context, r *run) {
	for _, held := range [][]string{{"1.1", "1.2"}, {"1.2"}, {"1.2", "1.3"}, {"1.3"}} {
		for _, s := range r.rig.Servers() {
			s.SetSnapshots(held...)
			if !sleep(ctx, 10*time.Millisecond) {
				return
			}
		}
	}
}

// platformOutage takes the platform down, then makes it slow.
func platformOutage(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	r.rig.Platform().SetFaults(stdplt.Outage)
	if !sleep(ctx, 6*time.Second) {
		return
	}
	r.rig.Platform().SetFaults(stdplt.Slow)
	if !sleep(ctx, 3*time.Second) {
		return
	}
	r.rig.Platform().SetFaults(0)
}

// lostReply loses the replies of writes for a while.
func lostReply(ctx context.Context, r *run) {
	for range 4 {
		if !sleep(ctx, time.Second) {
			return
		}
		r.rig.Platform().SetFaults(stdplt.LostReplies)
		if !sleep(ctx, time.Second) {
			return
		}
		r.rig.Platform().SetFaults(0)
	}
}

// pausedHolder stops two nodes for longer than a lease and resumes them.
func pausedHolder(ctx context.Context, r *run) {
	for i := range 2 {
		if !sleep(ctx, time.Second) {
			return
		}
		r.rig.Pause(i+1, true)
		sleep(ctx, 4*time.Second)
		r.rig.Pause(i+1, false)
	}
}

// nodeLoss kills two nodes and starts one of them again.
func nodeLoss(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	r.rig.KillNode(1)
	if !sleep(ctx, 3*time.Second) {
		return
	}
	r.rig.KillNode(2)
	if !sleep(ctx, 3*time.Second) {
		return
	}
	if err := r.rig.StartNode(1); err != nil {
		r.fail("start the node again: %v", err)
	}
}

// rollingRestart stops each node gracefully and starts it again.
func rollingRestart(ctx context.Context, r *run) {
	for i := range r.rig.Nodes() {
		if !sleep(ctx, time.Second) {
			return
		}
		r.rig.StopNode(i)
		if err := r.rig.StartNode(i); err != nil {
			r.fail("start node %d again: %v", i, err)
		}
	}
}

// cutOffNode cuts one node off from the platform, and another from everything,
// then takes a zone out.
func cutOffNode(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	r.rig.Cut(4, false, true)
	r.rig.Cut(5, true, true)
	zone := r.rig.Deployment().Zones()[1]
	began := time.Now()
	if !r.setZone(ctx, 0, zone, "out") || !sleep(ctx, 5*time.Second) {
		return
	}
	r.lastNewWork(zone, began)
	r.rig.Cut(4, false, false)
	r.rig.Cut(5, false, false)
}

// zoneOutInOutage takes a zone out while the platform is slow, and then fails.
func zoneOutInOutage(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	zone := r.rig.Deployment().Zones()[1]
	r.rig.Platform().SetFaults(stdplt.Slow)
	began := time.Now()
	done := make(chan bool, 1)
	go func() { done <- r.setZone(ctx, 0, zone, "out") }()
	if !sleep(ctx, 2500*time.Millisecond) {
		return
	}
	r.rig.Platform().SetFaults(stdplt.Outage)
	if !<-done || !sleep(ctx, 5*time.Second) {
		return
	}
	r.lastNewWork(zone, began)
	r.rig.Platform().SetFaults(0)
}

// lossInColdStart kills the nodes that own restarting servers during the climb.
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
	for i := range r.rig.Nodes() {
		if n := r.rig.Node(i); n != nil && owns(n, serverName(r.rig.Deployment().Reads()[0], 2, 1)) {
			r.rig.KillNode(i)
		}
	}
}

// draining makes a server of each of three groups report that it is leaving.
func draining(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	began := time.Now()
	for group := range 3 {
		r.server(group, 0).Drain()
	}
	sleep(ctx, 5*time.Second)
	last := 0.0
	for group := range 3 {
		last = max(last, r.server(group, 0).LastNew().Sub(began).Seconds())
	}
	r.note("last new work after drain s", last)
}

// hungServer makes a server take requests and never answer.
func hungServer(ctx context.Context, r *run) {
	if !sleep(ctx, time.Second) {
		return
	}
	r.server(0, 0).SetSlow(1000)
	r.server(1, 1).SetSilent(true)
	if !sleep(ctx, 5*time.Second) {
		return
	}
	r.server(0, 0).SetSlow(1)
	r.server(1, 1).SetSilent(false)
}
