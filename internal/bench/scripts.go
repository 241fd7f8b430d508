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

// owns reports whether a node admits for a server.
func owns(n *node.Node, server string) bool {
	acting := false
	n.Control().Do(func(w *world.World) {
		if row, ok := w.Servers().Find(server); ok {
			acting = row.Acting()
		}
	})
	return acting
}

// twoOperators lets two operators change the same zone at the same moment,
// again and again: of each pair one wins, and no node ever goes back.
func twoOperators(ctx context.Context, r *run) {
	zone := r.rig.Deployment().Zones()[2]
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.watchRevisions(stop)
	}()
	wins, conflicts := 0, 0
	for round := 0; round < 12 && sleep(ctx, 300*time.Millisecond); round++ {
		version := r.rig.ZoneVersion(0, zone)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for operator := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				o, err := r.rig.Change(ctx, operator, "zone", zone, version, map[string]string{"state": "in", "reason": fmt.Sprintf("operator %d round %d", operator, round)})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil && o.Accepted():
					wins++
					r.note("in force s", max(r.report.Value("in force s"), float64(o.InForceMS())/1000))
				case err == nil && o.Conflict():
					conflicts++
				}
			}()
		}
		wg.Wait()
	}
	close(stop)
	<-watched
	r.note("accepted changes", float64(wins))
	r.note("lost races", float64(conflicts))
	if wins > 12 || wins+conflicts > 24 {
		r.fail("%d changes were accepted in 12 races", wins)
	}
}

// watchRevisions checks that no node's configuration ever gets older.
func (r *run) watchRevisions(stop chan struct{}) {
	seen := make([]uint64, r.rig.Nodes())
	for {
		for i := range seen {
			revision := r.rig.Config(i).Revision()
			if revision < seen[i] && r.rig.Node(i) != nil {
				r.fail("node %d went from configuration %d back to %d", i, seen[i], revision)
			}
			seen[i] = max(seen[i], revision)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// repartition moves the first read service to a shard map with other shards,
// under load: servers first hold both, then only the new one.
func repartition(ctx context.Context, r *run) {
	if !sleep(ctx, 2*time.Second) {
		return
	}
	service := r.rig.Deployment().Reads()[0]
	for _, s := range r.rig.Servers() {
		s.SetSnapshots("1.1", "2.7")
	}
	if !sleep(ctx, time.Second) {
		return
	}
	if !r.declareMap(ctx, service) || !sleep(ctx, 2*time.Second) {
		return
	}
	for name, s := range r.rig.Servers() {
		if len(name) > len(service) && name[:len(service)] == service {
			s.SetSnapshots("2.7")
		}
	}
}

// declareMap declares shard map 2: two shards for each group.
func (r *run) declareMap(ctx context.Context, service string) bool {
	for _, s := range r.rig.Config(0).Services() {
		if s.Name() != service {
			continue
		}
		var shards, servers []map[string]any
		for _, shard := range s.Shards() {
			for half := range uint32(2) {
				shards = append(shards, map[string]any{"id": 100 + shard.ID()*2 + half, "group": shard.Group()})
			}
		}
		for _, x := range s.Servers() {
			servers = append(servers, map[string]any{"name": x.Name(), "addr": x.Addr(), "zone": x.Zone(), "group": x.Group(), "slots": x.Slots(), "conns": x.Conns()})
		}
		o, err := r.rig.Change(ctx, 0, "service", service, s.Version(), map[string]any{"map_version": 2, "shards": shards, "servers": servers})
		if err != nil || !o.Accepted() {
			r.fail("shard map 2 could not be declared: %v %s", err, o.Reason())
			return false
		}
		r.note("in force s", float64(o.InForceMS())/1000)
		return true
	}
	return false
}

// overloadRate is three times what the slowed servers of the small deployment
// bear: 3 replicas x 4 slots / (6 ms x overloadSlow), each query on 5 groups.
const (
	overloadSlow   = 6
	overloadRate   = 3 * 3 * 4 * 1000 / (6 * overloadSlow)
	overloadPhases = 5 * time.Second
)

// overload starts at a third of the overload, which is what the servers bear.
func overload(r *run) {
	r.load.SetReads(r.rig.Deployment().Reads()[0], overloadRate/3)
}

// overloadScript slows the servers and triples the load in the second phase.
func overloadScript(ctx context.Context, r *run) {
	for _, s := range r.rig.Servers() {
		s.SetSlow(overloadSlow)
	}
	if !sleep(ctx, overloadPhases+time.Second) {
		return
	}
	r.load.AddReads(r.rig.Deployment().Reads()[0], overloadRate*2/3)
}

// goodput compares the queries answered in full in the two phases.
func goodput(r *run) {
	seconds := r.load.PerSecond()
	phase := int(overloadPhases / time.Second)
	mean := func(from, n int) float64 {
		sum := int64(0)
		for _, v := range seconds[from : from+n] {
			sum += v
		}
		return float64(sum) / float64(n)
	}
	atCapacity, over := mean(3, phase), mean(phase+5, phase)
	r.note("goodput at capacity /s", atCapacity)
	r.note("goodput at 3x /s", over)
	r.report.AtLeast("goodput at 3x /s", 0.9*atCapacity)
}
