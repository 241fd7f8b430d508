package ctrl_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/internal/world"
)

// cluster runs the control systems of several nodes on one goroutine, with a
// simulated clock, platform and network.
type cluster struct {
	now          time.Duration
	nodes        []*simNode
	starts       uint64
	messages     []message
	config       storedObject[lagoon.Config]
	placement    storedObject[lagoon.Placement]
	platformDown bool
	loseReplies  bool
	servers      int
}

type storedObject[V any] struct {
	v       V
	version uint64
}

type message struct {
	from, to string
	m        lagoon.Message
}

// simNode is one simulated node. The nodes' clocks have different offsets.
type simNode struct {
	cluster             *cluster
	name                string
	w                   *world.World
	offset              time.Duration
	tasks               []func(context.Context) func(*world.World)
	paused              bool
	partitioned         bool
	platformUnreachable bool
	noUpdates           bool // the node receives no pushes and cannot reach the platform
}

func (n *simNode) Now() time.Duration { return n.cluster.now + n.offset }

func (n *simNode) Wall() time.Time { return time.UnixMilli(0).Add(n.cluster.now) }

func (n *simNode) Send(addr string, m lagoon.Message) bool {
	n.cluster.messages = append(n.cluster.messages, message{n.name, addr, m})
	return true
}

func newCluster(nodes, servers int) *cluster {
	cl := &cluster{now: time.Second, servers: servers}
	cl.config = storedObject[lagoon.Config]{newConfig(servers), 1}
	for i := range nodes {
		n := &simNode{cluster: cl, name: fmt.Sprintf("entry-%d", i), offset: time.Duration(i) * time.Minute}
		cl.nodes = append(cl.nodes, n)
		n.start()
	}
	return cl
}

func newConfig(servers int) lagoon.Config {
	var c lagoon.Config
	c.SetRevision(1)
	var z lagoon.Zone
	z.SetName("zone")
	z.SetVersion(1)
	z.SetState("in")
	c.SetZones([]lagoon.Zone{z})
	var svc lagoon.Service
	svc.SetName("archive-desk")
	svc.SetVersion(1)
	svc.SetMapVersion(1)
	var specs []lagoon.ServerSpec
	var shards []lagoon.ShardSpec
	for i := range servers {
		var spec lagoon.ServerSpec
		spec.SetName(fmt.Sprintf("server-%d", i))
		spec.SetAddr(fmt.Sprintf("10.0.0.%d:1", i+1))
		spec.SetZone("zone")
		spec.SetGroup(fmt.Sprintf("group-%d", i/3))
		spec.SetSlots(4)
		spec.SetMaxConns(75)
		specs = append(specs, spec)
		if i%3 == 0 {
			var shard lagoon.ShardSpec
			shard.SetID(uint32(i / 3))
			shard.SetGroup(spec.Group())
			shards = append(shards, shard)
		}
	}
	svc.SetServers(specs)
	svc.SetShards(shards)
	c.SetServices([]lagoon.Service{svc})
	return c
}

// start starts or restarts a node with empty tables.
func (n *simNode) start() {
	n.cluster.starts++
	w, _ := world.New(mbox.New(1024))
	var self lagoon.Member
	self.SetName(n.name)
	self.SetAddr(n.name)
	self.SetZone("zone")
	self.SetStartID(n.cluster.starts)
	w.SetSelf(self)
	w.SetClock(n)
	w.SetStartedAt(n.Now())
	w.SetRepo(n)
	w.SetUpstream(upstream{})
	w.SetLink(n)
	w.SetPublishedView(&atomic.Pointer[view.View]{})
	w.PublishedView().Store(&view.View{})
	for _, other := range n.cluster.nodes {
		w.SetSeeds(append(w.Seeds(), other.name))
	}
	w.SetSeeds(append(w.Seeds(), n.name))
	w.SetRunner(func(_ time.Duration, t func(context.Context) func(*world.World)) { n.tasks = append(n.tasks, t) })
	w.SetSystems(ctrl.Systems())
	n.w, n.tasks, n.paused, n.noUpdates = w, nil, false, false
}

// step advances the clock and runs a tick at every node that is not paused.
func (cl *cluster) step(d time.Duration) {
	cl.now += d
	for _, n := range cl.nodes {
		if !n.paused {
			n.w.Tick(nil)
		}
	}
}

// runTask runs a node's pending task and applies its result.
func (n *simNode) runTask(i int) {
	t := n.tasks[i]
	n.tasks = append(n.tasks[:i], n.tasks[i+1:]...)
	if apply := t(context.Background()); apply != nil {
		n.w.Tick([]any{apply})
	}
}

// deliver delivers message i, or drops it if its sender or recipient is unreachable.
func (cl *cluster) deliver(i int) {
	msg := cl.messages[i]
	cl.messages = append(cl.messages[:i], cl.messages[i+1:]...)
	var from, to *simNode
	for _, n := range cl.nodes {
		if n.name == msg.from {
			from = n
		}
		if n.name == msg.to {
			to = n
		}
	}
	if to == nil || from.partitioned || to.partitioned || to.paused {
		return
	}
	if to.noUpdates && isPush(msg.m) {
		return
	}
	to.w.Tick([]any{msg.m})
}

func isPush(m lagoon.Message) bool {
	switch m.(type) {
	case *lagoon.ConfigPush, *lagoon.PlacementPush:
		return true
	}
	return false
}

// runFor advances the clock by d, runs all tasks and delivers all messages.
func (cl *cluster) runFor(d time.Duration) {
	for end := cl.now + d; cl.now < end; {
		cl.step(100 * time.Millisecond)
		for _, n := range cl.nodes {
			for range len(n.tasks) {
				n.runTask(0)
			}
		}
		for range len(cl.messages) {
			cl.deliver(0)
		}
	}
}

// nodesAllowedToSend returns the nodes that may send requests to a server now.
func (cl *cluster) nodesAllowedToSend(server string) []string {
	var out []string
	for _, n := range cl.nodes {
		row, ok := n.w.Servers().Find(server)
		if ok && row.Owned() && row.SendAllowed() && n.w.LeaseUntil() > n.Now() {
			out = append(out, n.name)
		}
	}
	return out
}

func (n *simNode) platformErr() error {
	if n.cluster.platformDown || n.platformUnreachable || n.noUpdates {
		return errors.Wrap(lagoon.ErrUnavailable, "outage")
	}
	return nil
}

func conditionalPut[V any](n *simNode, o *storedObject[V], v V, ifVersion uint64) error {
	if err := n.platformErr(); err != nil {
		return err
	}
	if o.version != ifVersion {
		return errors.Wrap(lagoon.ErrConflict, "put")
	}
	*o = storedObject[V]{v, o.version + 1}
	if n.cluster.loseReplies {
		return errors.Wrap(lagoon.ErrUnavailable, "reply lost")
	}
	return nil
}

func watchObject[V any](n *simNode, o storedObject[V], after uint64) (V, uint64, error) {
	var zero V
	if err := n.platformErr(); err != nil {
		return zero, 0, err
	}
	if o.version <= after {
		return zero, 0, errors.Wrap(lagoon.ErrNotFound, "watch")
	}
	return o.v, o.version, nil
}

func (n *simNode) Config(context.Context) (lagoon.Config, uint64, error) {
	return n.cluster.config.v, n.cluster.config.version, n.platformErr()
}

func (n *simNode) PutConfig(_ context.Context, c lagoon.Config, ifVersion uint64) error {
	return conditionalPut(n, &n.cluster.config, c, ifVersion)
}

func (n *simNode) WatchConfig(_ context.Context, after uint64) (lagoon.Config, uint64, error) {
	return watchObject(n, n.cluster.config, after)
}

func (n *simNode) Placement(context.Context) (lagoon.Placement, uint64, error) {
	return n.cluster.placement.v, n.cluster.placement.version, n.platformErr()
}

func (n *simNode) PutPlacement(_ context.Context, p lagoon.Placement, ifVersion uint64) error {
	return conditionalPut(n, &n.cluster.placement, p, ifVersion)
}

func (n *simNode) WatchPlacement(_ context.Context, after uint64) (lagoon.Placement, uint64, error) {
	return watchObject(n, n.cluster.placement, after)
}

func (n *simNode) Bucket(context.Context, int) (lagoon.ClaimBucket, uint64, error) {
	return lagoon.ClaimBucket{}, 0, n.platformErr()
}

func (n *simNode) PutBucket(context.Context, int, lagoon.ClaimBucket, uint64) (uint64, error) {
	return 1, n.platformErr()
}

func (n *simNode) Instances(context.Context) ([]lagoon.Instance, error) { return nil, n.platformErr() }

// upstream answers probes and ignores requests.
type upstream struct{}

func (upstream) Send(context.Context, lagoon.Call) lagoon.Reply { return lagoon.Reply{} }

func (upstream) Probe(context.Context, string) (lagoon.Report, error) {
	var r lagoon.Report
	r.SetStartID(1)
	return r, nil
}
