// Package slope measures what control costs as its tables grow: one node's
// control systems with stand-in peers, servers and platform, on a clock of
// their own.
//
// # Usage
//
//	rows := slope.Measure()
//	err := slope.Write("docs/capacity", rows)
//
// A run lets simulated time pass: each peer's heartbeat arrives in its interval,
// answered as a real one would, and the control systems tick. The processor
// time is that of the ticks alone; the bytes are those of the encoded messages.
package slope

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl"
	"github.com/lagoontrail/lagoon/internal/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/internal/wire"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/assign"
)

// simulated is how much time one run lets pass.
const simulated = 10 * time.Second

// repeats is the number of runs of which the least processor time counts, as
// other programs on the machine only add to it.
const repeats = 3

// Point is one measurement.
type Point struct {
	peers, servers int
	cpu            float64 // processor time of control, in percent of a core
	bytes          float64 // bytes sent a second
	messages       float64 // messages sent a second
	memory         float64 // heap of the tables, in bytes
	change         float64 // time to adopt and push one configuration, in microseconds
	changeBytes    float64 // bytes pushed for one configuration
	plan           float64 // time to compute a placement after a node failed, in microseconds
}

// node is the node under measurement; it stands in for clock, link, platform
// and servers.
type node struct {
	now   time.Duration
	bytes int
	sent  int
	codec wire.Codec
}

func (n *node) Now() time.Duration { return n.now }

func (n *node) Wall() time.Time { return time.UnixMilli(n.now.Milliseconds()) }

func (n *node) Send(_ string, m lagoon.Message) bool {
	if data, err := n.codec.Encode(m); err == nil {
		n.bytes += len(data)
		n.sent++
	}
	return true
}

// platform refuses every call, so that nothing waits on it.
type platform struct{ lagoon.Repository }

func (platform) Config(context.Context) (lagoon.Config, uint64, error) {
	return lagoon.Config{}, 0, errors.Wrap(lagoon.ErrUnavailable, "none")
}

// Measure sweeps the numbers of peers and of servers.
func Measure() []Point {
	var out []Point
	for _, peers := range []int{4, 8, 16, 32, 64, 128} {
		out = append(out, measure(peers, 75))
	}
	for _, servers := range []int{150, 300, 600, 1200, 2400, 4800} {
		out = append(out, measure(16, servers))
	}
	return out
}

func member(i int) lagoon.Member {
	var m lagoon.Member
	m.SetName(fmt.Sprintf("entry-%04d", i))
	m.SetAddr(fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250+1))
	m.SetZone(fmt.Sprintf("zone-%d", i%3))
	m.SetStartID(uint64(i + 1))
	return m
}

func configOf(servers int, revision uint64) lagoon.Config {
	var c lagoon.Config
	c.SetRevision(revision)
	var svc lagoon.Service
	svc.SetName("archive-desk")
	svc.SetMapVersion(1)
	specs := make([]lagoon.ServerSpec, servers)
	shards := make([]lagoon.ShardSpec, (servers+2)/3)
	for i := range specs {
		specs[i].SetName(fmt.Sprintf("archive-desk-%05d", i))
		specs[i].SetAddr(fmt.Sprintf("10.1.%d.%d:80", i/250, i%250+1))
		specs[i].SetZone(fmt.Sprintf("zone-%d", i%3))
		specs[i].SetGroup(fmt.Sprintf("group-%05d", i/3))
		specs[i].SetSlots(4)
		specs[i].SetConns(75)
		shards[i/3].SetID(uint32(i / 3))
		shards[i/3].SetGroup(specs[i].Group())
	}
	svc.SetServers(specs)
	svc.SetShards(shards)
	c.SetServices([]lagoon.Service{svc})
	return c
}

// build returns a world with peers and servers, and its placement in force.
func build(n *node, peers, servers int) (*world.World, func()) {
	w, stop := world.New(mbox.New(1024))
	w.SetSelf(member(0))
	w.SetClock(n)
	w.SetRepo(platform{})
	w.SetLink(n)
	w.SetCurrent(&atomic.Pointer[view.View]{})
	w.Current().Store(&view.View{})
	w.SetRunner(func(time.Duration, func(context.Context) func(*world.World)) {})
	w.SetLoaded(true)
	w.SetSystems(ctrl.Systems())
	w.AdoptConfig(configOf(servers, 1), "the measurement")
	var members []lagoon.Member
	for i := range peers + 1 {
		members = append(members, member(i))
	}
	var p lagoon.Placement
	p.SetVersion(1)
	p.SetMembers(members)
	p.SetAssignments(assign.Planner{}.Plan(nil, w.Config().Services()[0].Servers(), members, 1))
	w.AdoptPlacement(p, "the measurement")
	return w, stop
}

// beat returns the heartbeat of a peer that has heard this node's last one and
// reports one changed server.
func beat(w *world.World, i int, now time.Duration) *lagoon.Heartbeat {
	b := &lagoon.Heartbeat{}
	b.SetFrom(member(i))
	b.SetSent(now)
	b.SetEcho(now - beats.HeartbeatInterval/2)
	b.SetEchoStartID(w.Self().StartID())
	b.SetPlacementVersion(1)
	b.SetConfigRevision(w.Config().Revision())
	b.SetReady(true)
	return b
}

func measure(peers, servers int) Point {
	n := &node{now: time.Second}
	before := heap()
	w, stop := build(n, peers, servers)
	defer stop()
	p := Point{peers: peers, servers: servers}
	run(w, n, peers, simulated) // to a steady state
	n.bytes, n.sent = 0, 0
	least := simulated
	for range repeats {
		least = min(least, run(w, n, peers, simulated))
	}
	p.cpu = 100 * least.Seconds() / simulated.Seconds()
	p.bytes = float64(n.bytes) / simulated.Seconds() / repeats
	p.messages = float64(n.sent) / simulated.Seconds() / repeats
	p.memory = heap() - before
	n.bytes = 0
	began := time.Now()
	w.AdoptConfig(configOf(servers, 2), "the measurement")
	w.Tick(nil)
	p.change = float64(time.Since(began).Microseconds())
	p.changeBytes = float64(n.bytes)
	began = time.Now()
	assign.Planner{}.Plan(w.Placement().Assignments(), w.Config().Services()[0].Servers(), w.Placement().Members()[1:], 2)
	p.plan = float64(time.Since(began).Microseconds())
	runtime.KeepAlive(w)
	return p
}

// run lets time pass and returns the processor time of the ticks. Every second
// one of the node's own servers changes its limit.
func run(w *world.World, n *node, peers int, length time.Duration) time.Duration {
	var busy time.Duration
	gap := beats.HeartbeatInterval / time.Duration(peers)
	next, idle := n.now, n.now
	peer := 0
	for end := n.now + length; n.now < end; {
		n.now = min(next, idle)
		var items []any
		if n.now == next {
			items = append(items, beat(w, peer+1, n.now))
			peer = (peer + 1) % peers
			next += gap
		} else {
			idle += world.TickInterval
		}
		if n.now/time.Second != (n.now-gap)/time.Second {
			items = append(items, changed(w, n.now))
		}
		began := time.Now()
		w.Tick(items)
		busy += time.Since(began)
	}
	return busy
}

// changed returns a lane's report that a limit changed.
func changed(w *world.World, now time.Duration) []lagoon.ServerStatus {
	var s lagoon.ServerStatus
	for i := range w.Servers().Len() {
		if row := w.Servers().At(i); row.Owned() {
			s.SetServer(row.Spec().Name())
			s.SetLimit(int(now/time.Second)%4 + 1)
			break
		}
	}
	return []lagoon.ServerStatus{s}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
