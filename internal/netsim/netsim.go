// Package netsim simulates the network of a deployment that runs in one process. It
// adds latency between zones, cuts nodes off, and pauses them.
//
// # Usage
//
//	net := netsim.New(500 * time.Microsecond)
//	net.SetZone("127.0.0.1:7101", "cph-1")
//	n, stop, err := node.New(s, log, net.Decorate("127.0.0.1:7101"))
//	net.SetPaused("127.0.0.1:7101", true)
//
// A paused node blocks whenever it reads the clock or sends something, until it is
// resumed. This simulates a process that was stopped and continued.
package netsim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/deps"
)

// Network is a simulated network. Create it with New.
type Network struct {
	latency      time.Duration
	mu           sync.RWMutex
	zones        map[string]string        // by address, like the maps below
	paused       map[string]chan struct{} // closed when the node is resumed
	cutFromPeers map[string]bool
	cutFromStore map[string]bool
}

// New returns a network with a one-way latency between zones.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, zones: map[string]string{}, paused: map[string]chan struct{}{}, cutFromPeers: map[string]bool{}, cutFromStore: map[string]bool{}}
}

// SetZone sets the zone of an address.
func (n *Network) SetZone(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// SetPaused pauses or resumes the node at an address.
func (n *Network) SetPaused(addr string, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed, ok := n.paused[addr]; ok && !paused {
		close(resumed)
		delete(n.paused, addr)
		return
	}
	if paused {
		n.paused[addr] = make(chan struct{})
	}
}

// SetPartition sets whether the node at an address is cut off from the other nodes and
// whether it is cut off from the store.
func (n *Network) SetPartition(addr string, fromPeers, fromStore bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutFromPeers[addr] = fromPeers
	n.cutFromStore[addr] = fromStore
}

// waitResumed blocks while the node at an address is paused.
func (n *Network) waitResumed(addr string) {
	for {
		n.mu.RLock()
		resumed, ok := n.paused[addr]
		n.mu.RUnlock()
		if !ok {
			return
		}
		<-resumed
	}
}

// partitioned reports whether messages between two nodes are lost.
func (n *Network) partitioned(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.cutFromPeers[a] || n.cutFromPeers[b]
}

// storeUnreachable reports whether the node at an address is cut off from the store.
func (n *Network) storeUnreachable(addr string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.cutFromStore[addr]
}

// latencyBetween returns the one-way latency between two addresses.
func (n *Network) latencyBetween(a, b string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.zones[a] == n.zones[b] {
		return 0
	}
	return n.latency
}

// Decorate returns a function that wraps the dependencies of the node at an address,
// so that all its traffic passes through the simulated network.
func (n *Network) Decorate(addr string) func(*deps.Deps) {
	return func(d *deps.Deps) {
		d.SetClock(&clock{n, addr, d.Clock()})
		d.SetStore(&store{n, addr, d.Store()})
		d.SetUpstream(&upstream{n, addr, d.Upstream()})
		d.SetLink(&link{n, addr, d.Link()})
	}
}

// clock is the clock of one node.
type clock struct {
	net  *Network
	addr string
	next lagoon.Clock
}

// Now returns the monotonic time. It blocks while the node is paused.
func (c *clock) Now() time.Duration {
	c.net.waitResumed(c.addr)
	return c.next.Now()
}

// Wall returns the time of day. It blocks while the node is paused.
func (c *clock) Wall() time.Time {
	c.net.waitResumed(c.addr)
	return c.next.Wall()
}

// link sends the messages of one node.
type link struct {
	net  *Network
	addr string
	next lagoon.PeerLink
}

// Send sends a message after the latency, or loses it if either node is cut off.
func (l *link) Send(addr string, m lagoon.Message) bool {
	l.net.waitResumed(l.addr)
	if l.net.partitioned(l.addr, addr) {
		return true // the sender cannot detect a message lost in the network
	}
	latency := l.net.latencyBetween(l.addr, addr)
	if latency == 0 {
		return l.next.Send(addr, m)
	}
	time.AfterFunc(latency, func() { l.next.Send(addr, m) })
	return true
}

// upstream sends the calls of one node to servers.
type upstream struct {
	net  *Network
	addr string
	next lagoon.Upstream
}

// Send adds the round-trip latency.
func (u *upstream) Send(ctx context.Context, c lagoon.Call) lagoon.Reply {
	u.net.waitResumed(u.addr)
	latency := u.net.latencyBetween(u.addr, c.Addr())
	time.Sleep(latency)
	reply := u.next.Send(ctx, c)
	u.net.waitResumed(u.addr)
	time.Sleep(latency)
	return reply
}

// Probe adds the round-trip latency.
func (u *upstream) Probe(ctx context.Context, addr string) (lagoon.Report, error) {
	u.net.waitResumed(u.addr)
	time.Sleep(2 * u.net.latencyBetween(u.addr, addr))
	return u.next.Probe(ctx, addr)
}

// store is the store as one node reaches it.
type store struct {
	net  *Network
	addr string
	next lagoon.Store
}

// checkReachable blocks while the node is paused, and returns an error if the node is
// cut off from the store.
func (s *store) checkReachable() error {
	s.net.waitResumed(s.addr)
	if s.net.storeUnreachable(s.addr) {
		return errors.Wrap(lagoon.ErrUnavailable, "simulated network: cut off from the store")
	}
	return nil
}

// Get reads an object.
func (s *store) Get(ctx context.Context, key string) (lagoon.Object, error) {
	if err := s.checkReachable(); err != nil {
		return lagoon.Object{}, err
	}
	return s.next.Get(ctx, key)
}

// Put writes an object.
func (s *store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if err := s.checkReachable(); err != nil {
		return 0, err
	}
	return s.next.Put(ctx, key, value, ifVersion)
}

// Delete deletes an object.
func (s *store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := s.checkReachable(); err != nil {
		return err
	}
	return s.next.Delete(ctx, key, ifVersion)
}

// List lists objects.
func (s *store) List(ctx context.Context, prefix string) ([]lagoon.Object, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.next.List(ctx, prefix)
}

// Watch waits for a change. It fails if the node is cut off from the store when the
// wait ends, even if the store responded.
func (s *store) Watch(ctx context.Context, key string, after uint64) (lagoon.Object, error) {
	if err := s.checkReachable(); err != nil {
		return lagoon.Object{}, err
	}
	o, err := s.next.Watch(ctx, key, after)
	if cutErr := s.checkReachable(); cutErr != nil {
		return lagoon.Object{}, cutErr
	}
	return o, err
}

// Instances reads the instance list.
func (s *store) Instances(ctx context.Context) ([]lagoon.Instance, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.next.Instances(ctx)
}
