// Package netw puts latency and failures between the parts of a deployment that
// runs in one process.
//
// # Usage
//
//	net := netw.New(500 * time.Microsecond)
//	net.Place("127.0.0.1:7101", "cph-1")
//	node.New(s, log, net.Decorate("127.0.0.1:7101"))
//	net.Pause("127.0.0.1:7101", true)
//
// A paused node's clock stands still for it: whatever reads the clock or sends
// something waits until the node is resumed, as after a stopped process.
package netw

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/deps"
)

// Net is the network between the parts. Make it with New.
type Net struct {
	latency time.Duration
	mu      sync.RWMutex
	zones   map[string]string
	paused  map[string]chan struct{}
	noPeers map[string]bool
	noStore map[string]bool
}

// New returns a network with a one-way latency between zones.
func New(latency time.Duration) *Net {
	return &Net{latency: latency, zones: map[string]string{}, paused: map[string]chan struct{}{}, noPeers: map[string]bool{}, noStore: map[string]bool{}}
}

// Place says in which zone an address is.
func (n *Net) Place(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// Pause stops or resumes the node at an address.
func (n *Net) Pause(addr string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate, ok := n.paused[addr]; ok && !on {
		close(gate)
		delete(n.paused, addr)
		return
	}
	if on {
		n.paused[addr] = make(chan struct{})
	}
}

// Cut cuts the node at an address off from other nodes, from the platform, or
// from both.
func (n *Net) Cut(addr string, peers, store bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noPeers[addr] = peers
	n.noStore[addr] = store
}

// wait returns when the node at an address is not paused.
func (n *Net) wait(addr string) {
	for {
		n.mu.RLock()
		gate, ok := n.paused[addr]
		n.mu.RUnlock()
		if !ok {
			return
		}
		<-gate
	}
}

func (n *Net) cutPeers(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.noPeers[a] || n.noPeers[b]
}

func (n *Net) cutStore(addr string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.noStore[addr]
}

// between returns the one-way latency between two addresses.
func (n *Net) between(a, b string) time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.zones[a] == n.zones[b] {
		return 0
	}
	return n.latency
}

// Decorate returns the function that puts a node at an address behind this
// network.
func (n *Net) Decorate(addr string) func(*deps.Deps) {
	return func(p *deps.Deps) {
		p.SetClock(&clock{n, addr, p.Clock()})
		p.SetStore(&store{n, addr, p.Store()})
		p.SetUpstream(&upstream{n, addr, p.Upstream()})
		p.SetLink(&link{n, addr, p.Link()})
	}
}

type clock struct {
	net  *Net
	addr string
	next lagoon.Clock
}

// Now waits while the node is paused.
func (c *clock) Now() time.Duration {
	c.net.wait(c.addr)
	return c.next.Now()
}

// Wall waits while the node is paused.
func (c *clock) Wall() time.Time {
	c.net.wait(c.addr)
	return c.next.Wall()
}

type link struct {
	net  *Net
	addr string
	next lagoon.PeerLink
}

// Send delivers after the latency, unless either side is cut off.
func (l *link) Send(addr string, m lagoon.Message) bool {
	l.net.wait(l.addr)
	if l.net.cutPeers(l.addr, addr) {
		return true // lost on the way, as the sender cannot know
	}
	latency := l.net.between(l.addr, addr)
	if latency == 0 {
		return l.next.Send(addr, m)
	}
	time.AfterFunc(latency, func() { l.next.Send(addr, m) })
	return true
}

type upstream struct {
	net  *Net
	addr string
	next lagoon.Upstream
}

// Send adds the latency of both ways.
func (u *upstream) Send(ctx context.Context, c lagoon.Call) lagoon.Reply {
	u.net.wait(u.addr)
	latency := u.net.between(u.addr, c.Addr())
	time.Sleep(latency)
	reply := u.next.Send(ctx, c)
	u.net.wait(u.addr)
	time.Sleep(latency)
	return reply
}

// Probe adds the latency of both ways.
func (u *upstream) Probe(ctx context.Context, addr string) (lagoon.Report, error) {
	u.net.wait(u.addr)
	time.Sleep(2 * u.net.between(u.addr, addr))
	return u.next.Probe(ctx, addr)
}

type store struct {
	net  *Net
	addr string
	next lagoon.Store
}

// through waits while the node is paused and fails while it is cut off.
func (s *store) through() error {
	s.net.wait(s.addr)
	if s.net.cutStore(s.addr) {
		return errors.Wrap(lagoon.ErrUnavailable, "cut off")
	}
	return nil
}

// Get reads through the network.
func (s *store) Get(ctx context.Context, key string) (lagoon.Object, error) {
	if err := s.through(); err != nil {
		return lagoon.Object{}, err
	}
	return s.next.Get(ctx, key)
}

// Put writes through the network.
func (s *store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if err := s.through(); err != nil {
		return 0, err
	}
	return s.next.Put(ctx, key, value, ifVersion)
}

// Delete removes through the network.
func (s *store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := s.through(); err != nil {
		return err
	}
	return s.next.Delete(ctx, key, ifVersion)
}

// List lists through the network.
func (s *store) List(ctx context.Context, prefix string) ([]lagoon.Object, error) {
	if err := s.through(); err != nil {
		return nil, err
	}
	return s.next.List(ctx, prefix)
}

// Watch waits through the network; a cut that begins meanwhile hides the end.
func (s *store) Watch(ctx context.Context, key string, after uint64) (lagoon.Object, error) {
	if err := s.through(); err != nil {
		return lagoon.Object{}, err
	}
	o, err := s.next.Watch(ctx, key, after)
	if cut := s.through(); cut != nil {
		return lagoon.Object{}, cut
	}
	return o, err
}

// Instances reads the list through the network.
func (s *store) Instances(ctx context.Context) ([]lagoon.Instance, error) {
	if err := s.through(); err != nil {
		return nil, err
	}
	return s.next.Instances(ctx)
}
