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

// sim runs the control systems of several nodes on one goroutine, with a clock,
// a platform and a network that the test drives.
type sim struct {
	now      time.Duration
	nodes    []*simNode
	starts   uint64
	messages []message
	config   object[lagoon.Config]
	place    object[lagoon.Placement]
	outage   bool
	lose     bool
	servers  int
}

type object[V any] struct {
	v       V
	version uint64
}

type message struct {
	from, to string
	m        lagoon.Message
}

// simNode is one node; its clock started at another time than the others'.
type simNode struct {
	s       *sim
	name    string
	w       *world.World
	offset  time.Duration
	tasks   []func(context.Context) func(*world.World)
	paused  bool
	cut     bool
	noStore bool
	starved bool // pushes to it are lost, and the platform is out of its reach
}

func (n *simNode) Now() time.Duration { return n.s.now + n.offset }

func (n *simNode) Wall() time.Time { return time.UnixMilli(0).Add(n.s.now) }

func (n *simNode) Send(addr string, m lagoon.Message) bool {
	n.s.messages = append(n.s.messages, message{n.name, addr, m})
	return true
}

func newSim(nodes, servers int) *sim {
	s := &sim{now: time.Second, servers: servers}
	s.config = object[lagoon.Config]{simConfig(servers), 1}
	for i := range nodes {
		n := &simNode{s: s, name: fmt.Sprintf("entry-%d", i), offset: time.Duration(i) * time.Minute}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	return s
}

func simConfig(servers int) lagoon.Config {
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
		spec.SetConns(75)
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

// start starts a node anew: it remembers nothing.
func (n *simNode) start() {
	n.s.starts++
	w, _ := world.New(mbox.New(1024))
	var self lagoon.Member
	self.SetName(n.name)
	self.SetAddr(n.name)
	self.SetZone("zone")
	self.SetStart(n.s.starts)
	w.SetSelf(self)
	w.SetClock(n)
	w.SetStarted(n.Now())
	w.SetRepo(n)
	w.SetUpstream(upstream{})
	w.SetLink(n)
	w.SetCurrent(&atomic.Pointer[view.View]{})
	w.Current().Store(&view.View{})
	for _, other := range n.s.nodes {
		w.SetSeeds(append(w.Seeds(), other.name))
	}
	w.SetSeeds(append(w.Seeds(), n.name))
	w.SetRunner(func(_ time.Duration, t func(context.Context) func(*world.World)) { n.tasks = append(n.tasks, t) })
	w.SetSystems(ctrl.Systems())
	n.w, n.tasks, n.paused, n.starved = w, nil, false, false
}

// step lets time pass and ticks every node that is not paused.
func (s *sim) step(d time.Duration) {
	s.now += d
	for _, n := range s.nodes {
		if !n.paused {
			n.w.Tick(nil)
		}
	}
}

// runTask runs a task of a node and applies what it returns.
func (n *simNode) runTask(i int) {
	t := n.tasks[i]
	n.tasks = append(n.tasks[:i], n.tasks[i+1:]...)
	if apply := t(context.Background()); apply != nil {
		n.w.Tick([]any{apply})
	}
}

// deliver hands over message i, unless its way is cut.
func (s *sim) deliver(i int) {
	x := s.messages[i]
	s.messages = append(s.messages[:i], s.messages[i+1:]...)
	var from, to *simNode
	for _, n := range s.nodes {
		if n.name == x.from {
			from = n
		}
		if n.name == x.to {
			to = n
		}
	}
	if to == nil || from.cut || to.cut || to.paused {
		return
	}
	if to.starved && isPush(x.m) {
		return
	}
	to.w.Tick([]any{x.m})
}

func isPush(m lagoon.Message) bool {
	switch m.(type) {
	case *lagoon.ConfigPush, *lagoon.PlacementPush:
		return true
	}
	return false
}

// settleDown delivers and runs everything for a while.
func (s *sim) settleDown(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step(100 * time.Millisecond)
		for _, n := range s.nodes {
			for range len(n.tasks) {
				n.runTask(0)
			}
		}
		for range len(s.messages) {
			s.deliver(0)
		}
	}
}

// acting returns the nodes that may send to a server now.
func (s *sim) acting(server string) []string {
	var out []string
	for _, n := range s.nodes {
		row, ok := n.w.Servers().Find(server)
		if ok && row.Mine() && row.Acting() && n.w.Lease() > n.Now() {
			out = append(out, n.name)
		}
	}
	return out
}

func (n *simNode) call() error {
	if n.s.outage || n.noStore || n.starved {
		return errors.Wrap(lagoon.ErrUnavailable, "outage")
	}
	return nil
}

func put[V any](n *simNode, o *object[V], v V, ifVersion uint64) error {
	if err := n.call(); err != nil {
		return err
	}
	if o.version != ifVersion {
		return errors.Wrap(lagoon.ErrConflict, "put")
	}
	*o = object[V]{v, o.version + 1}
	if n.s.lose {
		return errors.Wrap(lagoon.ErrUnavailable, "reply lost")
	}
	return nil
}

func watch[V any](n *simNode, o object[V], after uint64) (V, uint64, error) {
	var zero V
	if err := n.call(); err != nil {
		return zero, 0, err
	}
	if o.version <= after {
		return zero, 0, errors.Wrap(lagoon.ErrAbsent, "watch")
	}
	return o.v, o.version, nil
}

func (n *simNode) Config(context.Context) (lagoon.Config, uint64, error) {
	return n.s.config.v, n.s.config.version, n.call()
}

func (n *simNode) PutConfig(_ context.Context, c lagoon.Config, ifVersion uint64) error {
	return put(n, &n.s.config, c, ifVersion)
}

func (n *simNode) WatchConfig(_ context.Context, after uint64) (lagoon.Config, uint64, error) {
	return watch(n, n.s.config, after)
}

func (n *simNode) Placement(context.Context) (lagoon.Placement, uint64, error) {
	return n.s.place.v, n.s.place.version, n.call()
}

func (n *simNode) PutPlacement(_ context.Context, p lagoon.Placement, ifVersion uint64) error {
	return put(n, &n.s.place, p, ifVersion)
}

func (n *simNode) WatchPlacement(_ context.Context, after uint64) (lagoon.Placement, uint64, error) {
	return watch(n, n.s.place, after)
}

func (n *simNode) Bucket(context.Context, int) (lagoon.ClaimBucket, uint64, error) {
	return lagoon.ClaimBucket{}, 0, n.call()
}

func (n *simNode) PutBucket(context.Context, int, lagoon.ClaimBucket, uint64) (uint64, error) {
	return 1, n.call()
}

func (n *simNode) Instances(context.Context) ([]lagoon.Instance, error) { return nil, n.call() }

// upstream answers probes; nothing is sent to servers here.
type upstream struct{}

func (upstream) Send(context.Context, lagoon.Call) lagoon.Reply { return lagoon.Reply{} }

func (upstream) Probe(context.Context, string) (lagoon.Report, error) {
	var r lagoon.Report
	r.SetStart(1)
	return r, nil
}
