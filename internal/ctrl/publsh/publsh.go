// Package publsh publishes the control tables to the traffic lanes as a view.
//
// # Usage
//
//	systems = append(systems, publsh.System{})
//
// It reads the control tables and writes none. A new view is built only when its
// inputs have changed; the lanes load it through an atomic pointer.
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

// System publishes views. The zero value is ready to use.
type System struct {
	lastInputs viewInputs
}

// viewInputs identifies the state that a view was built from, without the lease.
type viewInputs struct {
	config, placement, viewSeq, liveHash uint64
	refusing                             bool
}

// Name returns the system's name.
func (*System) Name() string { return "publsh" }

// Run publishes a new view if the tables changed. If only the lease did, as after
// most heartbeats, it reuses the rows of the previous view.
func (s *System) Run(w *world.World, now time.Duration) {
	inputs := viewInputs{w.Config().Revision(), w.Placement().Version(), w.ViewSeq(), liveNodesHash(w, now), w.Refusing()}
	previous := w.PublishedView().Load()
	if inputs == s.lastInputs {
		if previous.LeaseUntil() != w.LeaseUntil() {
			v := *previous
			v.SetLeaseUntil(w.LeaseUntil())
			w.PublishedView().Store(&v)
		}
		return
	}
	s.lastInputs = inputs
	w.PublishedView().Store(s.build(w, now))
	if previous.PlacementVersion() != inputs.placement || previous.ConfigRevision() != inputs.config {
		wakeLanes(w)
	}
}

// liveNodesHash returns a hash of the set of live nodes.
func liveNodesHash(w *world.World, now time.Duration) uint64 {
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
	v.SetStartID(w.Self().StartID())
	v.SetZone(w.Self().Zone())
	v.SetLeaseUntil(w.LeaseUntil())
	v.SetRefusing(w.Refusing())
	v.SetConfigRevision(w.Config().Revision())
	v.SetPlacementVersion(w.Placement().Version())
	v.SetPeerAddrs(s.peerAddrs(w))
	v.SetClaimKeepers(s.keeperAddrs(w, now))
	s.buildServers(w, v, now)
	s.buildServices(w, v)
	return v
}

// wakeLanes makes the lanes load the new view immediately.
func wakeLanes(w *world.World) {
	for _, box := range w.Lanes() {
		box.TryPost(struct{}{}) // a lane with a full mailbox is awake anyway
	}
}

func (*System) peerAddrs(w *world.World) map[string]string {
	addrs := make(map[string]string, w.Nodes().Len())
	for i := range w.Nodes().Len() {
		addrs[w.Nodes().Key(i)] = w.Nodes().At(i).Member().Addr()
	}
	return addrs
}

// keeperAddrs returns the address of each claim bucket's keeper, chosen among the live
// members by rendezvous hashing. The entry is empty where this node is the keeper.
func (*System) keeperAddrs(w *world.World, now time.Duration) []string {
	var live []lagoon.Member
	for _, m := range w.Placement().Members() {
		if w.Live(m.Name(), now) {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil
	}
	addrs := make([]string, claim.Buckets)
	for b := range addrs {
		best := live[0]
		for _, m := range live[1:] {
			if rendezvousWeight(m, b) > rendezvousWeight(best, b) {
				best = m
			}
		}
		if best.Name() != w.Self().Name() {
			addrs[b] = best.Addr()
		}
	}
	return addrs
}

func rendezvousWeight(m lagoon.Member, bucket int) uint64 {
	return xxhash.Sum64String(m.Name() + "/" + string(rune('A'+bucket)))
}

func (s *System) buildServers(w *world.World, v *view.View, now time.Duration) {
	n := w.Servers().Len()
	list := make([]srvvw.Row, n)
	index := make(map[string]int, n)
	for i := range n {
		s.buildServer(w, &list[i], w.Servers().At(i), now)
		index[list[i].Name()] = i
	}
	v.SetServers(list)
	v.SetServerIndex(index)
}

func (*System) buildServer(w *world.World, dst *srvvw.Row, row *srvrs.Row, now time.Duration) {
	spec, a, status := row.Spec(), row.Assignment(), row.Status()
	dst.SetName(spec.Name())
	dst.SetAddr(spec.Addr())
	dst.SetZone(spec.Zone())
	dst.SetService(row.Service())
	dst.SetSlots(spec.Slots())
	dst.SetMaxConns(spec.MaxConns())
	dst.SetOwner(a.Owner())
	dst.SetOwned(row.Owned())
	dst.SetSendAllowed(row.SendAllowed())
	dst.SetSinceVersion(a.SinceVersion())
	dst.SetUp(status.Up())
	dst.SetDraining(status.Draining())
	dst.SetEjected(status.Ejected())
	dst.SetStartID(status.StartID())
	dst.SetSnapshots(status.Snapshots())
	dst.SetLimit(status.Limit())
	dst.SetLoad(status.Load())
	dst.SetMeanLatency(status.Latency())
	dst.SetOwnerLive(w.Live(a.Owner(), now))
	if n, ok := w.Nodes().Find(a.Owner()); ok {
		dst.SetOwnerAddr(n.Member().Addr())
		dst.SetOwnerZone(n.Member().Zone())
	}
	if row.Owned() {
		dst.SetOwnerZone(w.Self().Zone())
	}
	if z, ok := w.Zones().Find(spec.Zone()); ok {
		dst.SetZoneOut(z.Out())
		dst.SetZoneRestoredVersion(z.RestoredVersion())
	}
}

func (s *System) buildServices(w *world.World, v *view.View) {
	n := w.Services().Len()
	list := make([]svcvw.Row, n)
	index := make(map[string]int, n)
	for i := range n {
		row := w.Services().At(i)
		s.buildService(v, &list[i], row.Service())
		list[i].SetRule(row.Rule())
		index[list[i].Name()] = i
	}
	v.SetServices(list)
	v.SetServiceIndex(index)
}

func (*System) buildService(v *view.View, dst *svcvw.Row, svc lagoon.Service) {
	dst.SetName(svc.Name())
	dst.SetMapVersion(svc.MapVersion())
	groupIndex := map[string]int{}
	var groups [][]int
	groupOf := func(name string) int {
		g, ok := groupIndex[name]
		if !ok {
			g = len(groups)
			groupIndex[name] = g
			groups = append(groups, nil)
		}
		return g
	}
	for _, spec := range svc.Servers() {
		g := groupOf(spec.Group())
		groups[g] = append(groups[g], v.ServerIndex()[spec.Name()])
	}
	servers := v.Servers()
	for _, group := range groups {
		for _, pos := range group {
			servers[pos].SetReplicas(group)
		}
	}
	shards := make([]uint32, len(svc.Shards()))
	groupOfShard := make([]int, len(svc.Shards()))
	for i, shard := range svc.Shards() {
		shards[i] = shard.ID()
		groupOfShard[i] = groupOf(shard.Group())
	}
	dst.SetShards(shards)
	dst.SetGroupIndex(groupOfShard)
	dst.SetGroups(groups)
}
