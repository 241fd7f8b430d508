package ctrl_test

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl"
	"github.com/lagoontrail/lagoon/internal/direct/fetch"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/mbox"
)

// tickStep is the virtual time between two ticks of all nodes.
const tickStep = 20 * time.Millisecond

// fleet simulates the control systems of several nodes and one registry in virtual
// time.
type fleet struct {
	t                 *testing.T
	now               time.Duration
	nodes             []*node
	catalogVersion    uint64
	catalogRevision   uint64 // the revision at which the catalog was written, if that is not its version
	revision          uint64
	compactedRevision uint64 // the registry no longer holds the changes up to this revision
	servers           map[string]lagoon.Replica
	reports           uint64        // that servers have made
	coldFor           time.Duration // for which servers that are announced now are cold
	removed           map[string]uint64
	zonesOut          map[string]uint64 // the revision at which each zone was taken out of service
	zonesRestored     map[string]uint64 // the revision at which each zone was returned to service
	members           map[string]lagoon.Member
	memberRevisions   map[string]uint64 // the revision at which each member was announced
	hubWait           time.Duration
	largeNodes        int                                   // how many nodes are large; 0 makes all alike
	registryDown      bool                                  // accepts calls and never responds
	historyGone       bool                                  // has no history for any watch
	watchesHang       bool                                  // never responds to the watches that are pending now
	calls             int                                   // registry calls made so far
	fullPushes        int                                   // pushes of whole topics sent so far
	rosterNamesSent   int                                   // names of nodes in the heartbeats sent so far
	dropMessage       func(from, to *node) bool             // reports whether to lose a message
	garble            func(m lagoon.Message) lagoon.Message // returns the message as it arrives, nil if it is lost; nil for no change
	responseTime      time.Duration                         // of the registry; 10 ms if 0
	pushDelay         func() time.Duration                  // until a push arrives, while heartbeats arrive at once; nil for no delay
	grantDelay        time.Duration                         // until the answer to a request for quota tokens arrives
	delayed           []delivery                            // the pushes on their way
	declared          lagoon.Catalog                        // what the catalog declares, without its version
	rollouts          *rollouts                             // the orders to roll out versions; nil in a deployment without them
}

// delivery is a message that arrives later.
type delivery struct {
	at time.Duration
	to *node
	m  lagoon.Message
}

// node is one node of the fleet.
type node struct {
	fleet          *fleet
	self           lagoon.Member
	control        *state.State
	publishedView  atomic.Pointer[view.View]
	pending        []*pendingCall
	mailbox        []any
	down           bool
	registryCutOff bool          // the registry responds to none of its calls
	servedAgainAt  time.Duration // when the registry served it again after it had turned it away
	requestCount   atomic.Int64
	hangingTopics  map[lagoon.Topic]bool // calls of these topics never get a response
	announced      int                   // how often it has announced itself again
}

// pendingCall is a registry call in progress.
type pendingCall struct {
	topic      lagoon.Topic
	startedAt  time.Duration
	wait       time.Duration // for which a watch waits for a change
	deadline   time.Duration
	after      uint64
	watch      bool
	unanswered bool
}

// recorder is a lagoon.Registry that records the arguments of one call.
type recorder struct {
	after   uint64
	wait    time.Duration
	watch   bool
	timeout time.Duration
}

// errRecorded ends a call that is only recorded.
var errRecorded = errors.New("recorded")

// Read, Watch and Announce implement lagoon.Registry.
func (r *recorder) Read(ctx context.Context, _ lagoon.Topic) (lagoon.RegistryUpdate, error) {
	return lagoon.RegistryUpdate{}, r.record(ctx)
}

func (r *recorder) Watch(ctx context.Context, _ lagoon.Topic, after uint64, wait time.Duration) (lagoon.RegistryUpdate, error) {
	r.watch, r.after, r.wait = true, after, wait
	return lagoon.RegistryUpdate{}, r.record(ctx)
}

func (r *recorder) Announce(context.Context, lagoon.Member) error { return errRecorded }

func (r *recorder) record(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		r.timeout = time.Until(deadline)
	}
	return errRecorded
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: time.Second, catalogVersion: 1, revision: 10, servers: map[string]lagoon.Replica{}, removed: map[string]uint64{}, zonesOut: map[string]uint64{}, zonesRestored: map[string]uint64{}, members: map[string]lagoon.Member{}, memberRevisions: map[string]uint64{}}
	f.startNodes(n)
	return f
}

// startNodes starts nodes, spread over three zones.
func (f *fleet) startNodes(n int) {
	for i := range n {
		f.start(fmt.Sprintf("node-%02d", i), string(rune('a'+i%3)))
	}
}

// start starts a node, or restarts it.
func (f *fleet) start(name, zone string) *node {
	n := &node{fleet: f, hangingTopics: map[lagoon.Topic]bool{}}
	n.self.SetName(name)
	n.self.SetZone(zone)
	n.self.SetAddr(name)
	n.self.SetFrontAddr(name)
	n.self.SetStartID(uint64(f.now))
	n.self.SetCores(0.1)
	if f.isLarge(name) {
		n.self.SetCores(0.8)
	}
	control, stop := state.New(mbox.New(16))
	f.t.Cleanup(stop)
	n.control = control
	n.publishedView.Store(&view.View{})
	control.SetSelf(n.self)
	control.SetClock(f)
	control.SetLink(n)
	control.SetPublishedView(&n.publishedView)
	control.SetRegistryReachable(true)
	control.SetRegistry(&recorder{})
	control.SetStartedAt(f.now)
	control.SetHubWait(f.hubWait)
	control.SetSystems(ctrl.Systems())
	control.SetRunner(n.call)
	control.SetWriteRunner(n.write)
	if f.rollouts != nil {
		f.rollouts.enable(n)
	}
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

// Now and Wall implement lagoon.Clock.
func (f *fleet) Now() time.Duration { return f.now }

func (f *fleet) Wall() time.Time { return time.Unix(0, 0).Add(f.now) }

// Send implements lagoon.PeerLink.
func (n *node) Send(addr string, m lagoon.Message) bool {
	for _, to := range n.fleet.nodes {
		if to.self.Addr() == addr && !to.down {
			if n.fleet.dropMessage != nil && n.fleet.dropMessage(n, to) {
				return false
			}
			if heartbeat, ok := m.(*lagoon.Heartbeat); ok {
				n.fleet.rosterNamesSent += len(heartbeat.RosterAdded()) + len(heartbeat.RosterRemoved())
			}
			push, isPush := m.(*lagoon.RegistryPush)
			if isPush {
				if update := push.Update(); update.Full() {
					n.fleet.fullPushes++
				}
			}
			if n.fleet.garble != nil {
				if m = n.fleet.garble(m); m == nil {
					return true
				}
			}
			if isPush && n.fleet.pushDelay != nil {
				n.fleet.delayed = append(n.fleet.delayed, delivery{n.fleet.now + n.fleet.pushDelay(), to, m})
				return true
			}
			if _, ok := m.(*lagoon.QuotaGrant); ok && n.fleet.grantDelay > 0 {
				n.fleet.delayed = append(n.fleet.delayed, delivery{n.fleet.now + n.fleet.grantDelay, to, m})
				return true
			}
			to.mailbox = append(to.mailbox, m)
			return true
		}
	}
	return false
}

// call records a registry call, to which the fleet responds later.
func (n *node) call(topic lagoon.Topic, call func(ctx context.Context) (lagoon.RegistryUpdate, error)) {
	recorded := &recorder{}
	n.control.SetRegistry(recorded)
	if _, err := call(context.Background()); !errors.Is(err, errRecorded) {
		n.fleet.t.Fatalf("registry call: got %v, want it to reach the registry", err)
	}
	n.fleet.calls++
	now := n.fleet.now
	n.pending = append(n.pending, &pendingCall{topic: topic, startedAt: now, wait: recorded.wait, deadline: now + recorded.timeout, after: recorded.after, watch: recorded.watch, unanswered: n.hangingTopics[topic]})
}

// write runs a write of the node's own announcement, which succeeds while the registry responds.
func (n *node) write(_ func(ctx context.Context) error, done func(s *state.State, err error)) {
	if n.fleet.registryDown || n.registryCutOff {
		done(n.control, errors.New("no response"))
		return
	}
	n.announced++
	n.fleet.calls++
	n.fleet.revision++
	n.fleet.members[n.self.Name()], n.fleet.memberRevisions[n.self.Name()] = n.self, n.fleet.revision
	done(n.control, nil)
}

// updateSince returns the changes to a topic after a revision.
func (f *fleet) updateSince(topic lagoon.Topic, after uint64) lagoon.RegistryUpdate {
	var update lagoon.RegistryUpdate
	update.SetTopic(topic)
	update.SetPrevious(after)
	update.SetRevision(f.revision)
	switch topic {
	case lagoon.TopicCatalog:
		if revision := cmp.Or(f.catalogRevision, f.catalogVersion); f.catalogVersion > 0 && revision > after {
			catalog := f.declared
			catalog.SetVersion(f.catalogVersion)
			catalog.SetRevision(revision)
			update.SetCatalog(catalog)
		}
	case lagoon.TopicReplicas:
		for _, r := range f.servers {
			if r.Revision() > after {
				update.SetReplicas(append(update.Replicas(), r))
			}
		}
		for id, revision := range f.removed {
			if revision > after {
				update.SetRemoved(append(update.Removed(), id))
			}
		}
	case lagoon.TopicZones:
		for zone, revision := range f.zonesOut {
			if revision > after {
				update.SetZones(append(update.Zones(), zone))
			}
		}
		for zone, revision := range f.zonesRestored {
			if revision > after {
				update.SetRemoved(append(update.Removed(), zone))
			}
		}
	case lagoon.TopicMembers:
		for name, m := range f.members {
			if f.memberRevisions[name] > after {
				update.SetMembers(append(update.Members(), m))
			}
		}
	case lagoon.TopicRollouts:
		f.rollouts.changes(&update, after)
	}
	return update
}

// respond returns the results of the calls of a node that are due.
func (f *fleet) respond(n *node) []any {
	var out []any
	var remaining []*pendingCall
	for _, p := range n.pending {
		var result fetch.Result
		result.SetTopic(p.topic)
		switch {
		case n.registryCutOff || f.registryDown || p.unanswered || (f.watchesHang && p.watch):
			p.unanswered = true // stays so after the registry has recovered
			if f.now < p.deadline {
				remaining = append(remaining, p)
				continue
			}
			result.SetErr(errors.New("no response"))
		case f.now-p.startedAt < max(f.responseTime, 10*time.Millisecond):
			remaining = append(remaining, p)
			continue
		case p.watch && (p.after < f.compactedRevision || f.historyGone):
			result.SetErr(lagoon.ErrCompacted)
		default:
			update := f.updateSince(p.topic, p.after)
			if p.watch && f.now < p.startedAt+p.wait && !hasChanges(update) {
				remaining = append(remaining, p)
				continue
			}
			update.SetFull(!p.watch)
			result.SetUpdate(update)
		}
		out = append(out, result)
	}
	n.pending = remaining
	return out
}

// hasChanges reports whether an update contains changes.
func hasChanges(update lagoon.RegistryUpdate) bool {
	catalog := update.Catalog()
	return catalog.Revision() > 0 || len(update.Replicas())+len(update.Members())+len(update.Zones())+len(update.Removed())+len(update.Rollouts()) > 0
}

// run advances virtual time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickStep {
		f.deliver()
		for _, n := range f.nodes {
			if n.down {
				continue
			}
			items := append(f.respond(n), n.mailbox...)
			n.mailbox = nil
			n.control.Tick(items)
		}
	}
}

// deliver delivers the messages that have arrived.
func (f *fleet) deliver() {
	var remaining []delivery
	for _, d := range f.delayed {
		if f.now < d.at {
			remaining = append(remaining, d)
			continue
		}
		d.to.mailbox = append(d.to.mailbox, d.m)
	}
	f.delayed = remaining
}

// changeCatalog writes a new catalog.
func (f *fleet) changeCatalog() {
	f.revision++
	f.catalogVersion, f.catalogRevision = f.revision, f.revision
}

// takeZoneOut takes an availability zone out of service.
func (f *fleet) takeZoneOut(zone string) {
	f.revision++
	f.zonesOut[zone] = f.revision
	delete(f.zonesRestored, zone)
}

// restoreZone returns an availability zone to service.
func (f *fleet) restoreZone(zone string) {
	f.revision++
	f.zonesRestored[zone] = f.revision
	delete(f.zonesOut, zone)
}

// announce announces a server in zone a or changes its announcement.
func (f *fleet) announce(id string, draining bool) { f.announceIn("a", id, draining) }

// announceIn announces a server in a zone or changes its announcement.
func (f *fleet) announceIn(zone, id string, draining bool) {
	f.revision++
	var r lagoon.Replica
	r.SetID(id)
	r.SetZone(zone)
	r.SetService("desk")
	r.SetDraining(draining)
	r.SetRevision(f.revision)
	f.reports++
	r.SetSequence(f.reports)
	r.SetColdDuration(f.coldFor)
	f.servers[id] = r
	delete(f.removed, id)
}

// withdraw removes a server's announcement.
func (f *fleet) withdraw(id string) {
	f.revision++
	delete(f.servers, id)
	f.removed[id] = f.revision
}

// checkInForce checks that every running node that reaches the registry uses the
// newest catalog.
func (f *fleet) checkInForce(when string) {
	f.t.Helper()
	for _, n := range f.nodes {
		catalog := n.publishedView.Load().Catalog()
		if got, want := catalog.Version(), f.catalogVersion; !n.down && !n.registryCutOff && got != want {
			f.t.Errorf("%s: %s uses version %d, want %d", when, n.self.Name(), got, want)
		}
	}
}
