// Package publsh publishes the view that the traffic lanes read.
//
// # Usage
//
//	systems = append(systems, publsh.System{})
//
// It reads all control tables and writes none. A view is built per tick; the
// lanes load it by one atomic pointer.
package publsh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/srvvw"
	"github.com/lagoontrail/lagoon/internal/svcvw"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

// System publishes views. The zero value works; it remembers what the last view
// was made of.
type System struct {
	last key
}

// key names what a view is made of, but for the lease.
type key struct {
	config, placement, touched, live uint64
	refusing                         bool
}

// Name returns the system's name.
func (*System) Name() string { return "publsh" }

// Run publishes a view of the tables if they changed. When only the lease did,
// which is so after most heartbeats, the rows of the last view serve again.
func (s *System) Run(w *world.World, now time.Duration) {
	k := key{w.Config().Revision(), w.Placement().Version(), w.Touched(), live(w, now), w.Refusing()}
	before := w.Current().Load()
	if k == s.last {
		if before.LeaseUntil() != w.Lease() {
			v := *before
			v.SetLeaseUntil(w.Lease())
			w.Current().Store(&v)
		}
		return
	}
	s.last = k
	w.Current().Store(s.build(w, now))
	if before.Placement() != k.placement || before.Config() != k.config {
		wake(w)
	}
}

// live returns a hash of which nodes are live.
func live(w *world.World, now time.Duration) uint64 {
	h := uint64(w.Nodes().Len())
	for i := range w.Nodes().Len() {
		if w.Live(w.Nodes().Key(i), now) {
			h = h*31 + uint64(i) + 1
		}
	}
	return h
}

func (s *System) build(w *world.World, now time.Duration) *view.View {
	v := &view.View{}
	v.SetSelf(w.Self().Name())
	v.SetStart(w.Self().Start())
	v.SetZone(w.Self().Zone())
	v.SetLeaseUntil(w.Lease())
	v.SetStopping(w.Refusing())
	v.SetConfig(w.Config().Revision())
	v.SetPlacement(w.Placement().Version())
	v.SetPeers(s.peers(w))
	v.SetKeepers(s.keepers(w, now))
	s.servers(w, v, now)
	s.services(w, v)
	return v
}

// wake makes the lanes look at a new view at once.
func wake(w *world.World) {
	for _, box := range w.Lanes() {
		box.TryPost(struct{}{}) // a full mailbox means that the lane is awake
	}
}

func (*System) peers(w *world.World) map[string]string {
	peers := make(map[string]string, w.Nodes().Len())
	for i := range w.Nodes().Len() {
		peers[w.Nodes().Key(i)] = w.Nodes().At(i).Member().Addr()
	}
	return peers
}

// keepers returns the address of the keeper of each claim bucket, chosen among
// the live members by the highest hash.
func (*System) keepers(w *world.World, now time.Duration) []string {
	var live []lagoon.Member
	for _, m := range w.Placement().Members() {
		if w.Live(m.Name(), now) {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil
	}
	out := make([]string, claim.Buckets)
	for b := range out {
		best := live[0]
		for _, m := range live[1:] {
			if weight(m, b) > weight(best, b) {
				best = m
			}
		}
		if best.Name() != w.Self().Name() {
			out[b] = best.Addr()
		}
	}
	return out
}

func weight(m lagoon.Member, bucket int) uint64 {
	return xxhash.Sum64String(m.Name() + "/" + string(rune('A'+bucket)))
}

func (s *System) servers(w *world.World, v *view.View, now time.Duration) {
	n := w.Servers().Len()
	list := make([]srvvw.Row, n)
	index := make(map[string]int, n)
	for i := range n {
		s.server(w, &list[i], w.Servers().At(i), now)
		index[list[i].Name()] = i
	}
	v.SetServers(list)
	v.SetIndex(index)
}

func (*System) server(w *world.World, out *srvvw.Row, row *srvrs.Row, now time.Duration) {
	spec, a, status := row.Spec(), row.Assignment(), row.Status()
	out.SetName(spec.Name())
	out.SetAddr(spec.Addr())
	out.SetZone(spec.Zone())
	out.SetService(row.Service())
	out.SetSlots(spec.Slots())
	out.SetConns(spec.Conns())
	out.SetOwner(a.Owner())
	out.SetMine(row.Mine())
	out.SetActing(row.Acting())
	out.SetSince(a.Since())
	out.SetUp(status.Up())
	out.SetDraining(status.Draining())
	out.SetEjected(status.Ejected())
	out.SetStart(status.Start())
	out.SetSnapshots(status.Snapshots())
	out.SetLimit(status.Limit())
	out.SetLoad(status.Load())
	out.SetLatency(status.Latency())
	out.SetOwnerLive(w.Live(a.Owner(), now))
	if n, ok := w.Nodes().Find(a.Owner()); ok {
		out.SetOwnerAddr(n.Member().Addr())
		out.SetOwnerZone(n.Member().Zone())
	}
	if row.Mine() {
		out.SetOwnerZone(w.Self().Zone())
	}
	if z, ok := w.Zones().Find(spec.Zone()); ok {
		out.SetOut(z.Out())
		out.SetOutVer(z.Returned())
	}
}

func (s *System) services(w *world.World, v *view.View) {
	n := w.Services().Len()
	list := make([]svcvw.Row, n)
	index := make(map[string]int, n)
	for i := range n {
		row := w.Services().At(i)
		s.service(v, &list[i], row.Service())
		list[i].SetRule(row.Rule())
		index[list[i].Name()] = i
	}
	v.SetServices(list)
	v.SetSvcIndex(index)
}

func (*System) service(v *view.View, out *svcvw.Row, svc lagoon.Service) {
	out.SetName(svc.Name())
	out.SetMapVersion(svc.MapVersion())
	position := map[string]int{}
	var groups [][]int
	groupOf := func(name string) int {
		g, ok := position[name]
		if !ok {
			g = len(groups)
			position[name] = g
			groups = append(groups, nil)
		}
		return g
	}
	for _, spec := range svc.Servers() {
		g := groupOf(spec.Group())
		groups[g] = append(groups[g], v.Index()[spec.Name()])
	}
	servers := v.Servers()
	for _, group := range groups {
		for _, pos := range group {
			servers[pos].SetGroup(group)
		}
	}
	shards := make([]uint32, len(svc.Shards()))
	of := make([]int, len(svc.Shards()))
	for i, shard := range svc.Shards() {
		shards[i] = shard.ID()
		of[i] = groupOf(shard.Group())
	}
	out.SetShards(shards)
	out.SetGroupOf(of)
	out.SetGroups(groups)
}
