// Package slope measures how the cost of a node's control systems grows with the
// number of peers and servers. Peers, servers, platform and clock are simulated.
//
// # Usage
//
//	points := slope.Measure()
//	err := slope.Write("docs/capacity", points)
//
// During a run, every peer sends one heartbeat per heartbeat interval, which
// acknowledges this node's last heartbeat, and the control systems tick. Processor
// time is measured for the ticks alone; bytes are those of the encoded messages.
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

// simulatedTime is the duration of one run on the simulated clock.
const simulatedTime = 10 * time.Second

// measuredRuns is the number of runs. The lowest processor time counts, because other
// programs on the machine can only add to it.
const measuredRuns = 3

// Point is one measurement.
type Point struct {
	peers, servers    int
	cpuPercent        float64 // of a core, for the ticks of control
	bytesPerSecond    float64 // sent to peers
	messagesPerSecond float64 // sent to peers
	heapBytes         float64 // of the tables
	changeMicros      float64 // to adopt and push one configuration
	changeBytes       float64 // sent to push one configuration
	planMicros        float64 // to compute a placement after a node failure
}

// environment simulates the node's clock and its link to the peers, and counts the
// messages and bytes that the node sends.
type environment struct {
	now      time.Duration
	bytes    int
	messages int
	codec    wire.Codec
}

func (env *environment) Now() time.Duration { return env.now }

func (env *environment) Wall() time.Time { return time.UnixMilli(env.now.Milliseconds()) }

func (env *environment) Send(_ string, m lagoon.Message) bool {
	if data, err := env.codec.Encode(m); err == nil {
		env.bytes += len(data)
		env.messages++
	}
	return true
}

// unavailablePlatform fails the read of the configuration, so that no system waits for
// it. The world's runner discards jobs, so there are no other calls.
type unavailablePlatform struct{ lagoon.Repository }

func (unavailablePlatform) Config(context.Context) (lagoon.Config, uint64, error) {
	return lagoon.Config{}, 0, errors.Wrap(lagoon.ErrUnavailable, "none")
}

// Measure varies the number of peers at 75 servers, and the number of servers at 16
// peers.
func Measure() []Point {
	var points []Point
	for _, peers := range []int{4, 8, 16, 32, 64, 128} {
		points = append(points, measure(peers, 75))
	}
	for _, servers := range []int{150, 300, 600, 1200, 2400, 4800} {
		points = append(points, measure(16, servers))
	}
	return points
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
	var service lagoon.Service
	service.SetName("archive-desk")
	service.SetMapVersion(1)
	specs := make([]lagoon.ServerSpec, servers)
	shards := make([]lagoon.ShardSpec, (servers+2)/3)
	for i := range specs {
		specs[i].SetName(fmt.Sprintf("archive-desk-%05d", i))
		specs[i].SetAddr(fmt.Sprintf("10.1.%d.%d:80", i/250, i%250+1))
		specs[i].SetZone(fmt.Sprintf("zone-%d", i%3))
		specs[i].SetGroup(fmt.Sprintf("group-%05d", i/3))
		specs[i].SetSlots(4)
		specs[i].SetMaxConns(75)
		shards[i/3].SetID(uint32(i / 3))
		shards[i/3].SetGroup(specs[i].Group())
	}
	service.SetServers(specs)
	service.SetShards(shards)
	c.SetServices([]lagoon.Service{service})
	return c
}

// newWorld returns a world with a placement of the servers on this node and its peers.
func newWorld(env *environment, peers, servers int) (*world.World, func()) {
	w, stop := world.New(mbox.New(1024))
	w.SetSelf(member(0))
	w.SetClock(env)
	w.SetRepo(unavailablePlatform{})
	w.SetLink(env)
	w.SetPublishedView(&atomic.Pointer[view.View]{})
	w.PublishedView().Store(&view.View{})
	w.SetRunner(func(time.Duration, func(context.Context) func(*world.World)) {})
	w.SetStateLoaded(true)
	w.SetSystems(ctrl.Systems())
	w.AdoptConfig(configOf(servers, 1), "the measurement")
	var members []lagoon.Member
	for i := range peers + 1 {
		members = append(members, member(i))
	}
	var placement lagoon.Placement
	placement.SetVersion(1)
	placement.SetMembers(members)
	placement.SetAssignments(assign.Planner{}.Plan(nil, w.Config().Services()[0].Servers(), members, 1))
	w.AdoptPlacement(placement, "the measurement")
	return w, stop
}

// heartbeat returns a heartbeat of a peer that received this node's last one and uses
// its configuration.
func heartbeat(w *world.World, i int, now time.Duration) *lagoon.Heartbeat {
	hb := &lagoon.Heartbeat{}
	hb.SetFrom(member(i))
	hb.SetSent(now)
	hb.SetEcho(now - beats.HeartbeatInterval/2)
	hb.SetEchoStartID(w.Self().StartID())
	hb.SetPlacementVersion(1)
	hb.SetConfigRevision(w.Config().Revision())
	hb.SetReady(true)
	return hb
}

func measure(peers, servers int) Point {
	env := &environment{now: time.Second}
	before := heapBytes()
	w, stop := newWorld(env, peers, servers)
	defer stop()
	p := Point{peers: peers, servers: servers}
	simulate(w, env, peers, simulatedTime) // reaches a steady state before the measurement
	env.bytes, env.messages = 0, 0
	minTickTime := simulatedTime
	for range measuredRuns {
		minTickTime = min(minTickTime, simulate(w, env, peers, simulatedTime))
	}
	p.cpuPercent = 100 * minTickTime.Seconds() / simulatedTime.Seconds()
	p.bytesPerSecond = float64(env.bytes) / simulatedTime.Seconds() / measuredRuns
	p.messagesPerSecond = float64(env.messages) / simulatedTime.Seconds() / measuredRuns
	p.heapBytes = heapBytes() - before
	env.bytes = 0
	start := time.Now()
	w.AdoptConfig(configOf(servers, 2), "the measurement")
	w.Tick(nil)
	p.changeMicros = float64(time.Since(start).Microseconds())
	p.changeBytes = float64(env.bytes)
	start = time.Now()
	assign.Planner{}.Plan(w.Placement().Assignments(), w.Config().Services()[0].Servers(), w.Placement().Members()[1:], 2)
	p.planMicros = float64(time.Since(start).Microseconds())
	runtime.KeepAlive(w)
	return p
}

// simulate advances the simulated clock by duration and returns the processor time of
// the ticks. Once a second the limit of a server that the node owns changes.
func simulate(w *world.World, env *environment, peers int, duration time.Duration) time.Duration {
	var tickTime time.Duration
	interval := beats.HeartbeatInterval / time.Duration(peers)
	nextHeartbeat, nextTick := env.now, env.now
	peer := 0
	for end := env.now + duration; env.now < end; {
		env.now = min(nextHeartbeat, nextTick)
		var items []any
		if env.now == nextHeartbeat {
			items = append(items, heartbeat(w, peer+1, env.now))
			peer = (peer + 1) % peers
			nextHeartbeat += interval
		} else {
			nextTick += world.TickInterval
		}
		if env.now/time.Second != (env.now-interval)/time.Second {
			items = append(items, limitChange(w, env.now))
		}
		start := time.Now()
		w.Tick(items)
		tickTime += time.Since(start)
	}
	return tickTime
}

// limitChange returns a lane's report that the limit of an owned server changed.
func limitChange(w *world.World, now time.Duration) []lagoon.ServerStatus {
	var status lagoon.ServerStatus
	for i := range w.Servers().Len() {
		if row := w.Servers().At(i); row.Owned() {
			status.SetServer(row.Spec().Name())
			status.SetLimit(int(now/time.Second)%4 + 1)
			break
		}
	}
	return []lagoon.ServerStatus{status}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
