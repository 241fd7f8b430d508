package ctl_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctl"
	"github.com/lagoontrail/lagoon/internal/direct/fetch"
	"github.com/lagoontrail/lagoon/internal/direct/sight"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/mbox"
)

// step is the virtual time between two ticks of all nodes.
const tickStep = 20 * time.Millisecond

// fleet runs the control systems of several nodes over one modelled registry,
// in virtual time.
type fleet struct {
	t                 *testing.T
	now               time.Duration
	nodes             []*node
	catalogVersion    uint64
	revision          uint64
	compactedRevision uint64 // changes up to this revision are forgotten
	servers           map[string]lagoon.Replica
	removed           map[string]uint64
	zonesOut          map[string]uint64 // the zones taken out
	zonesBack         map[string]uint64 // the zones that came back
	members           map[string]lagoon.Member
	memberRevisions   map[string]uint64
	hubWait           time.Duration
	largeNodes        int  // the nodes that are large beside the others; 0 makes all alike
	registryDown      bool // takes calls and never answers them
	watchesHang       bool // never answers the watches that wait now
	calls             int
	rosterNamesSent   int // names of nodes in heartbeats
	dropMessage       func(from, to *node) bool
}

// node is one node of the fleet.
type node struct {
	fleet          *fleet
	self           lagoon.Member
	board          *state.State
	current        atomic.Pointer[sight.View]
	pending        []*pendingCall
	inbox          []any
	down           bool
	registryCutOff bool // from the registry
	hangingTopics  map[lagoon.Topic]bool
}

// pending is a call to the registry.
type pendingCall struct {
	topic      lagoon.Topic
	startedAt  time.Duration
	deadline   time.Duration
	after      uint64
	watch      bool
	unanswered bool
}

// probe records the arguments of one call to the registry.
type recorder struct {
	after   uint64
	wait    time.Duration
	watch   bool
	timeout time.Duration
}

// errProbe ends a call that was only to be recorded.
var errRecorded = errors.New("recorded")

// Read and the others make probe a lagoon.Registry.
func (p *recorder) Read(ctx context.Context, _ lagoon.Topic) (lagoon.News, error) {
	return lagoon.News{}, p.record(ctx)
}

func (p *recorder) Watch(ctx context.Context, _ lagoon.Topic, after uint64, wait time.Duration) (lagoon.News, error) {
	p.watch, p.after, p.wait = true, after, wait
	return lagoon.News{}, p.record(ctx)
}

func (p *recorder) Announce(context.Context, lagoon.Member) error { return nil }

func (p *recorder) record(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		p.timeout = time.Until(deadline)
	}
	return errRecorded
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: time.Second, catalogVersion: 1, revision: 10, servers: map[string]lagoon.Replica{}, removed: map[string]uint64{}, zonesOut: map[string]uint64{}, zonesBack: map[string]uint64{}, members: map[string]lagoon.Member{}, memberRevisions: map[string]uint64{}}
	for i := range n {
		f.start(fmt.Sprintf("node-%02d", i), string(rune('a'+i%3)))
	}
	return f
}

// start starts a node, or starts it anew.
func (f *fleet) start(name, zone string) *node {
	n := &node{fleet: f, hangingTopics: map[lagoon.Topic]bool{}}
	n.self.SetName(name)
	n.self.SetZone(zone)
	n.self.SetAddr(name)
	n.self.SetFront(name)
	n.self.SetStart(uint64(f.now))
	n.self.SetCores(0.1)
	if f.isLarge(name) {
		n.self.SetCores(0.8)
	}
	b, stop := state.New(mbox.New(16))
	f.t.Cleanup(stop)
	n.board = b
	n.current.Store(&sight.View{})
	b.SetSelf(n.self)
	b.SetClock(f)
	b.SetLink(n)
	b.SetCurrent(&n.current)
	b.SetRegistryReachable(true)
	b.SetRegistry(&recorder{})
	b.SetStartedAt(f.now)
	b.SetHubWait(f.hubWait)
	b.SetSystems(ctl.Systems())
	b.SetRunner(n.call)
	f.revision++
	f.members[name], f.memberRevisions[name] = n.self, f.revision
	for i, old := range f.nodes {
		if old.self.Name() == name {
			f.nodes[i] = n
			return n
		}
	}
	f.nodes = append(f.nodes, n)
	return n
}

// isLarge reports whether a node is one of the large ones.
func (f *fleet) isLarge(name string) bool { return name < fmt.Sprintf("node-%02d", f.largeNodes) }

// Now makes the fleet a lagoon.Clock.
func (f *fleet) Now() time.Duration { return f.now }

// Wall returns a calendar time for log lines.
func (f *fleet) Wall() time.Time { return time.Unix(0, 0).Add(f.now) }

// Send makes a node a lagoon.PeerLink.
func (n *node) Send(addr string, m lagoon.Message) bool {
	for _, to := range n.fleet.nodes {
		if to.self.Addr() == addr && !to.down {
			if n.fleet.dropMessage != nil && n.fleet.dropMessage(n, to) {
				return false
			}
			if beat, ok := m.(*lagoon.Beat); ok {
				n.fleet.rosterNamesSent += len(beat.Live()) + len(beat.Gone())
			}
			to.inbox = append(to.inbox, m)
			return true
		}
	}
	return false
}

// call records a call to the registry, which fleet answers later.
func (n *node) call(topic lagoon.Topic, call func(ctx context.Context) (lagoon.News, error)) {
	p := &recorder{}
	n.board.SetRegistry(p)
	if _, err := call(context.Background()); !errors.Is(err, errRecorded) {
		n.fleet.t.Fatalf("call: got %v, want it to reach the registry", err)
	}
	n.fleet.calls++
	began := n.fleet.now
	n.pending = append(n.pending, &pendingCall{topic: topic, startedAt: began, deadline: began + p.timeout, after: p.after, watch: p.watch, unanswered: n.hangingTopics[topic]})
}

// news returns what the registry holds of a topic after a revision.
func (f *fleet) update(topic lagoon.Topic, after uint64) lagoon.News {
	var n lagoon.News
	n.SetTopic(topic)
	n.SetPrevious(after)
	n.SetRevision(f.revision)
	switch topic {
	case lagoon.TopicCatalog:
		if f.catalogVersion > 0 && f.catalogVersion > after {
			var c lagoon.Catalog
			c.SetVersion(f.catalogVersion)
			c.SetRevision(f.catalogVersion)
			n.SetCatalog(c)
		}
	case lagoon.TopicReplicas:
		for _, r := range f.servers {
			if r.Revision() > after {
				n.SetReplicas(append(n.Replicas(), r))
			}
		}
		for id, revision := range f.removed {
			if revision > after {
				n.SetRemoved(append(n.Removed(), id))
			}
		}
	case lagoon.TopicZones:
		for zone, revision := range f.zonesOut {
			if revision > after {
				n.SetZones(append(n.Zones(), zone))
			}
		}
		for zone, revision := range f.zonesBack {
			if revision > after {
				n.SetRemoved(append(n.Removed(), zone))
			}
		}
	case lagoon.TopicMembers:
		for name, m := range f.members {
			if f.memberRevisions[name] > after {
				n.SetMembers(append(n.Members(), m))
			}
		}
	}
	return n
}

// answer answers the calls of a node that are due.
func (f *fleet) answer(n *node) []any {
	var out []any
	var left []*pendingCall
	for _, p := range n.pending {
		var got fetch.Result
		got.SetTopic(p.topic)
		switch {
		case n.registryCutOff || f.registryDown || p.unanswered || (f.watchesHang && p.watch):
			p.unanswered = true // also when the registry is back
			if f.now < p.deadline {
				left = append(left, p)
				continue
			}
			got.SetErr(errors.New("no answer"))
		case f.now-p.startedAt < 10*time.Millisecond:
			left = append(left, p)
			continue
		case p.watch && p.after < f.compactedRevision:
			got.SetErr(lagoon.ErrHistory)
		default:
			news := f.update(p.topic, p.after)
			if p.watch && f.now < p.deadline-600*time.Millisecond && !hasChanges(news) {
				left = append(left, p)
				continue
			}
			news.SetFull(!p.watch)
			got.SetUpdate(news)
		}
		out = append(out, got)
	}
	n.pending = left
	return out
}

func hasChanges(n lagoon.News) bool {
	c := n.Catalog()
	return c.Revision() > 0 || len(n.Replicas())+len(n.Members())+len(n.Zones())+len(n.Removed()) > 0
}

// run lets virtual time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickStep {
		for _, n := range f.nodes {
			if n.down {
				continue
			}
			items := append(f.answer(n), n.inbox...)
			n.inbox = nil
			n.board.Tick(items)
		}
	}
}

// change writes a new declaration.
func (f *fleet) changeCatalog() {
	f.revision++
	f.catalogVersion = f.revision
}

// takeOut takes an availability zone out, and bringBack brings it back.
func (f *fleet) takeZoneOut(zone string) {
	f.revision++
	f.zonesOut[zone] = f.revision
	delete(f.zonesBack, zone)
}

func (f *fleet) bringZoneBack(zone string) {
	f.revision++
	f.zonesBack[zone] = f.revision
	delete(f.zonesOut, zone)
}

// serve announces a server or changes its announcement.
func (f *fleet) announce(id string, leaving bool) { f.announceIn("a", id, leaving) }

func (f *fleet) announceIn(zone, id string, leaving bool) {
	f.revision++
	var r lagoon.Replica
	r.SetID(id)
	r.SetZone(zone)
	r.SetService("desk")
	r.SetLeaving(leaving)
	r.SetRevision(f.revision)
	f.servers[id] = r
	delete(f.removed, id)
}

// unannounce removes a server's announcement.
func (f *fleet) unannounce(id string) {
	f.revision++
	delete(f.servers, id)
	f.removed[id] = f.revision
}

// inForce checks that all nodes that run use the newest declaration.
func (f *fleet) checkInForce(when string) {
	f.t.Helper()
	for _, n := range f.nodes {
		catalog := n.current.Load().Catalog()
		if got, want := catalog.Version(), f.catalogVersion; !n.down && !n.registryCutOff && got != want {
			f.t.Errorf("%s: %s uses version %d, want %d", when, n.self.Name(), got, want)
		}
	}
}
