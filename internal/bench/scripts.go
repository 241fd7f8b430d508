package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lagoontrail/lagoon/internal/node"
	"github.com/lagoontrail/lagoon/internal/world"
)

func serverName(service string, group, replica int) string {
	return fmt.Sprintf("%s-%02d%c", service, group, 'a'+replica)
}

// owns reports whether a node owns a server and may send requests to it.
func owns(n *node.Node, server string) bool {
	sendAllowed := false
	n.Control().Do(func(w *world.World) {
		if row, ok := w.Servers().Find(server); ok {
			sendAllowed = row.SendAllowed()
		}
	})
	return sendAllowed
}

// twoOperators makes two operators change the same version of a zone concurrently, in
// 12 rounds. It checks that no more changes than rounds are accepted and that no node
// returns to an earlier configuration.
func twoOperators(ctx context.Context, r *run) {
	zone := r.cluster.Deployment().Zones()[2]
	stop := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		r.watchRevisions(stop)
	}()
	accepted, conflicts := 0, 0
	for round := 0; round < 12 && sleep(ctx, 300*time.Millisecond); round++ {
		version := r.cluster.ZoneVersion(0, zone)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for operator := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				result, err := r.cluster.Change(ctx, operator, "zone", zone, version, map[string]string{"state": "in", "reason": fmt.Sprintf("operator %d round %d", operator, round)})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil && result.Accepted():
					accepted++
					r.setValue("in force s", max(r.report.Value("in force s"), float64(result.InForceMS())/1000))
				case err == nil && result.Conflict():
					conflicts++
				}
			}()
		}
		wg.Wait()
	}
	close(stop)
	<-watcherDone
	r.setValue("accepted changes", float64(accepted))
	r.setValue("lost races", float64(conflicts))
	if accepted > 12 || accepted+conflicts > 24 {
		r.failf("%d changes accepted in 12 races of two changes each", accepted)
	}
}

// watchRevisions checks, until stop is closed, that no node returns to an earlier
// configuration revision.
func (r *run) watchRevisions(stop chan struct{}) {
	latest := make([]uint64, r.cluster.Nodes())
	for {
		for i := range latest {
			revision := r.cluster.Config(i).Revision()
			if revision < latest[i] && r.cluster.Node(i) != nil {
				r.failf("node %d returned from configuration %d to %d", i, latest[i], revision)
			}
			latest[i] = max(latest[i], revision)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// repartition moves the first sharded service to a shard map with other shards under
// load. The servers hold the snapshots of both maps until the new map is in force.
func repartition(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	service := r.cluster.Deployment().ReadServices()[0]
	for _, s := range r.cluster.Servers() {
		s.SetSnapshots("1.1", "2.7")
	}
	if !sleep(ctx, time.Second) {
		return
	}
	if !r.declareShardMap(ctx, service) || !sleep(ctx, 2*time.Second) {
		return
	}
	for name, s := range r.cluster.Servers() {
		if len(name) > len(service) && name[:len(service)] == service {
			s.SetSnapshots("2.7")
		}
	}
}

// declareShardMap declares shard map 2, which splits each shard into two.
func (r *run) declareShardMap(ctx context.Context, service string) bool {
	for _, s := range r.cluster.Config(0).Services() {
		if s.Name() != service {
			continue
		}
		var shards, servers []map[string]any
		for _, shard := range s.Shards() {
			for half := range uint32(2) {
				shards = append(shards, map[string]any{"id": 100 + shard.ID()*2 + half, "group": shard.Group()})
			}
		}
		for _, spec := range s.Servers() {
			servers = append(servers, map[string]any{"name": spec.Name(), "addr": spec.Addr(), "zone": spec.Zone(), "group": spec.Group(), "slots": spec.Slots(), "conns": spec.MaxConns()})
		}
		result, err := r.cluster.Change(ctx, 0, "service", service, s.Version(), map[string]any{"map_version": 2, "shards": shards, "servers": servers})
		if err != nil || !result.Accepted() {
			r.failf("declare shard map 2: %v %s", err, result.Reason())
			return false
		}
		r.setValue("in force s", float64(result.InForceMS())/1000)
		return true
	}
	return false
}

// overloadQueriesPerSecond is three times the capacity of the small deployment with
// slowed servers. Each query goes to all 5 groups, so the capacity is that of one
// group: 3 replicas x 4 slots / (6 ms x overloadSlowdown).
const (
	overloadSlowdown         = 6
	overloadQueriesPerSecond = 3 * 3 * 4 * 1000 / (6 * overloadSlowdown)
	overloadPhase            = 5 * time.Second
)

// overloadLoad starts at the capacity of the servers.
func overloadLoad(r *run) {
	r.load.AddReadStream(r.cluster.Deployment().ReadServices()[0], overloadQueriesPerSecond/3)
}

// overloadScript slows the servers, and triples the load in the second phase.
func overloadScript(ctx context.Context, r *run) {
	for _, s := range r.cluster.Servers() {
		s.SetSlowdown(overloadSlowdown)
	}
	if !sleep(ctx, overloadPhase+time.Second) {
		return
	}
	r.load.AddReadStreamDuringRun(r.cluster.Deployment().ReadServices()[0], overloadQueriesPerSecond*2/3)
}

// compareGoodput checks that the queries answered in full in the second phase are at
// least 90% of those in the first. It skips the warm-up, the first second of the first
// phase and the first two seconds of the second.
func compareGoodput(r *run) {
	answered := r.load.AnsweredPerSecond()
	phase := int(overloadPhase / time.Second)
	mean := func(from, n int) float64 {
		sum := int64(0)
		for _, count := range answered[from : from+n] {
			sum += count
		}
		return float64(sum) / float64(n)
	}
	atCapacity, overloaded := mean(3, phase), mean(phase+5, phase)
	r.setValue("goodput at capacity /s", atCapacity)
	r.setValue("goodput at 3x /s", overloaded)
	r.report.AtLeast("goodput at 3x /s", 0.9*atCapacity)
}
