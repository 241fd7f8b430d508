// Package place chooses the server of each attempt that is wanted and starts
// it.
//
// # Usage
//
//	systems = append(systems, &place.System{})
//
// Attempts wait while every usable server has as many from this node as its
// share of connections allows. Urgent routes go first, then what waited
// longest.
package place

import (
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/calls"
	"github.com/lagoontrail/lagoon/internal/direct/flow"
	"github.com/lagoontrail/lagoon/internal/direct/hosts"
	"github.com/lagoontrail/lagoon/internal/direct/sends"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/sys/hedge"
	"github.com/lagoontrail/lagoon/internal/direct/sys/yield"
	"github.com/lagoontrail/lagoon/internal/due"
)

// Times after which what was learnt counts for less, by a factor of e.
const (
	slowMemory = 5 * time.Second        // of a server's slowness, so that it is tried again
	toldMemory = 100 * time.Millisecond // of a server's told load: a few answers' time
)

// connShare is the share of a server's connections that the nodes use; the rest
// is left for nodes that are not known yet.
const connShare = 0.85

// lookAgain is the pause after which waiting attempts are looked at again when
// nothing else wakes the flow.
const lookAgain = 5 * time.Millisecond

// System places attempts. The zero value works; it keeps a buffer.
type System struct {
	waiting []lagoon.RowID
}

// Name returns the system's name.
func (*System) Name() string { return "place" }

// Run starts the attempts that are wanted.
func (s *System) Run(f *flow.Flow, now time.Duration) {
	if len(f.Queue()) == 0 {
		return
	}
	s.waiting = append(s.waiting[:0], f.Queue()...)
	f.SetQueue(f.Queue()[:0])
	slices.SortStableFunc(s.waiting, func(a, b lagoon.RowID) int { return order(f, a, b) })
	// What surely cannot be served is found before anything of it is sent.
	for _, id := range s.waiting {
		if sh, c, ok := wanted(f, id); ok && sh.Running() == 0 {
			giveUp(f, sh, c, now)
		}
	}
	for _, id := range s.waiting {
		if sh, c, ok := wanted(f, id); ok && yield.Enough(c, c.Covered()+c.Open()) {
			place(f, id, sh, c, now)
		}
	}
	if len(f.Queue()) > 0 {
		f.WakeAt(now+lookAgain, due.Slot, 0)
	}
}

// wanted returns a shard that wants an attempt, and its request.
func wanted(f *flow.Flow, id lagoon.RowID) (*shards.Row, *calls.Row, bool) {
	sh, ok := f.Shards().Resolve(id)
	if !ok || !sh.Wants() {
		return nil, nil, false
	}
	c, ok := f.Calls().Resolve(sh.Call())
	return sh, c, ok && !c.Ended()
}

// giveUp gives a shard up if no server may answer for it.
func giveUp(f *flow.Flow, sh *shards.Row, c *calls.Row, now time.Duration) {
	if _, found, full := choose(f, sh, c, now); found || full {
		return
	}
	sh.SetWants(false)
	sh.SetState(shards.Missing)
	if sh.Detail() == "" {
		sh.SetDetail("no server answers now")
	}
	c.SetOpen(c.Open() - 1)
	f.Touch(sh.Call())
}

// order puts urgent routes first, then what waited longest.
func order(f *flow.Flow, a, b lagoon.RowID) int {
	x, okX := f.Shards().Resolve(a)
	y, okY := f.Shards().Resolve(b)
	if !okX || !okY {
		return 0
	}
	p, okP := f.Calls().Resolve(x.Call())
	q, okQ := f.Calls().Resolve(y.Call())
	if okP && okQ && p.Route() != nil && q.Route() != nil && p.Route().Priority() != q.Route().Priority() {
		return p.Route().Priority() - q.Route().Priority()
	}
	return int(x.Queued() - y.Queued())
}

func place(f *flow.Flow, id lagoon.RowID, sh *shards.Row, c *calls.Row, now time.Duration) {
	replica, found, full := choose(f, sh, c, now)
	switch {
	case found:
		start(f, id, sh, c, replica, now)
	case full:
		f.Want(id)
	default:
		sh.SetWants(false) // a hedge without a second server
	}
}

// choose returns the best usable server. full reports whether one would be
// usable if it had room.
func choose(f *flow.Flow, sh *shards.Row, c *calls.Row, now time.Duration) (best lagoon.Replica, found, full bool) {
	view := f.View()
	servers := view.ServersOf(sh.Service())
	self := view.Self()
	lowest := math.Inf(1)
	for i := range servers {
		r := &servers[i]
		if slices.Contains(sh.Tried(), r.ID()) {
			continue
		}
		h := host(f, r)
		if h.RestUntil() > now || (h.Misplaced() != 0 && h.Misplaced() == r.Born()) {
			continue
		}
		if h.Inflight() >= room(f, sh.Service()) || !coldRoom(f, r, h, now) {
			full = true
			continue
		}
		cost := f.Replicas().Cost(look(f, c.Route(), r, h, self.Zone(), now))
		if cost < lowest {
			lowest, best, found = cost, *r, true
		}
	}
	return best, found, full
}

// host returns what the flow knows of a server, anew when it started again.
func host(f *flow.Flow, r *lagoon.Replica) *hosts.Row {
	h := f.Hosts().Ensure(r.ID())
	if h.Born() != r.Born() {
		inflight := h.Inflight()
		*h = hosts.Row{}
		h.SetBorn(r.Born())
		h.SetInflight(inflight)
	}
	return h
}

// room returns the attempts that this node may have at one server at once: its
// share of the server's connections.
func room(f *flow.Flow, service string) int {
	pool := f.View().Pool(service)
	if pool.Conns() == 0 {
		return math.MaxInt
	}
	return max(1, int(connShare*float64(pool.Conns())/max(f.View().Nodes(), 1)))
}

// coldRoom reports whether a cold server's bound leaves room for one attempt of
// this node.
func coldRoom(f *flow.Flow, r *lagoon.Replica, h *hosts.Row, now time.Duration) bool {
	pool := f.View().Pool(r.Service())
	return pool.ColdPerSecond() == 0 || f.View().ColdUntilOf(r.ID()) <= now || h.ColdSpent() <= now
}

// spendCold takes one attempt from this node's share of a cold server's bound.
func spendCold(f *flow.Flow, r *lagoon.Replica, h *hosts.Row, now time.Duration) {
	pool := f.View().Pool(r.Service())
	if pool.ColdPerSecond() == 0 || f.View().ColdUntilOf(r.ID()) <= now {
		return
	}
	every := time.Duration(float64(time.Second) * max(f.View().Nodes(), 1) / pool.ColdPerSecond())
	h.SetColdSpent(max(now, h.ColdSpent()) + every)
}

func look(f *flow.Flow, route *lagoon.Route, r *lagoon.Replica, h *hosts.Row, zone string, now time.Duration) lagoon.ReplicaView {
	var v lagoon.ReplicaView
	v.SetSlots(r.Slots())
	v.SetInflight(h.Inflight())
	v.SetQueued(h.Told() * fade(now-h.ToldAt(), toldMemory))
	v.SetSlowness(1 + h.Slow()*fade(now-h.Sampled(), slowMemory))
	v.SetSameZone(r.Zone() == zone)
	v.SetCold(f.View().ColdUntilOf(r.ID()) > now)
	v.SetLeaving(r.Leaving())
	v.SetFaulty(h.Faulty() * fade(now-h.Sampled(), slowMemory))
	if typical := f.Rates().Ensure(route.Name()).Typical(); h.Inflight() > 0 && typical > 0 {
		v.SetSilence(float64(now-h.Quiet()) / float64(typical))
	}
	v.SetNoise(f.Random())
	return v
}

func fade(age, memory time.Duration) float64 { return math.Exp(-float64(age) / float64(memory)) }

// start starts an attempt at a server.
func start(f *flow.Flow, id lagoon.RowID, sh *shards.Row, c *calls.Row, r lagoon.Replica, now time.Duration) {
	h := host(f, &r)
	if h.Inflight() == 0 {
		h.SetQuiet(now)
	}
	h.SetInflight(h.Inflight() + 1)
	spendCold(f, &r, h, now)
	sendID, s := f.Sends().Add("")
	s.SetCall(sh.Call())
	s.SetShard(id)
	s.SetService(sh.Service())
	s.SetHost(r.ID())
	s.SetRoute(c.Route().Name())
	s.SetSent(now)
	s.SetAgain(sh.Running() > 0)
	sh.SetWants(false)
	sh.SetState(shards.Running)
	sh.SetTries(sh.Tries() + 1)
	sh.SetTried(append(sh.Tried(), r.ID()))
	sh.SetRunning(sh.Running() + 1)
	sh.SetSends(append(sh.Sends(), sendID))
	launch(f, sendID, s, c, r, now)
	if c.Route().Idempotent() {
		f.WakeAt(now+hedge.After(f, c.Route()), due.Leg, sendID)
	}
}

func launch(f *flow.Flow, id lagoon.RowID, s *sends.Row, c *calls.Row, r lagoon.Replica, now time.Duration) {
	ask := c.Ask()
	var a lagoon.Attempt
	a.SetID(ask.ID())
	a.SetReplica(r)
	a.SetTimeout(c.Deadline() - now)
	a.SetFresh(!c.Route().Idempotent())
	a.SetEncoded(ask.Encoded())
	f.Launch(id, s, a)
}
