// Package clustr runs a whole deployment in one process, for benchmarks, the demo
// and failure tests. The nodes are real and communicate over loopback TCP. The
// platform and the servers are simulated.
//
// # Usage
//
//	c, stop, err := clustr.Start(deployment, nodes, ttlSeconds, log, nil)
//	defer stop()
//	err = c.WaitReady(ctx)
//	c.Servers()["archive-desk-00a"].Restart(time.Second)
package clustr

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/config"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/htplat"
	"github.com/lagoontrail/lagoon/internal/netsim"
	"github.com/lagoontrail/lagoon/internal/node"
	"github.com/lagoontrail/lagoon/internal/repo"
	"github.com/lagoontrail/lagoon/internal/simplt"
	"github.com/lagoontrail/lagoon/internal/simsrv"
	"github.com/lagoontrail/lagoon/internal/submit"
	"github.com/lagoontrail/lagoon/internal/world"
)

// readyPollInterval is the time between two checks of whether the nodes are ready.
const readyPollInterval = 20 * time.Millisecond

// Cluster is a running deployment. Create it with Start.
type Cluster struct {
	deployment  *deploy.Deployment
	network     *netsim.Network
	log         *logrus.Logger
	prepare     func(*node.Node)
	ttlSeconds  int
	platform    *simplt.Platform
	platformURL string
	servers     map[string]*simsrv.Server
	addrs       []string // of the nodes, by index
	cleanups    []func() // called in reverse order

	mu    sync.Mutex
	nodes []*runningNode // by index; nil while the node does not run
}

// runningNode is a node with the means to stop it.
type runningNode struct {
	node    *node.Node
	ctx     context.Context
	stop    context.CancelFunc // requests a graceful stop
	done    chan error         // receives the result of Serve
	release func()             // frees resources after done
}

// Start starts a deployment. nodes is the number of nodes; 0 means the
// deployment's own number. ttlSeconds is how long callers cache the list of nodes.
// prepare, if not nil, is called on each node before it serves. The returned
// function stops everything.
func Start(d *deploy.Deployment, nodes, ttlSeconds int, log *logrus.Logger, prepare func(*node.Node)) (*Cluster, func(), error) {
	if nodes == 0 {
		nodes = d.Nodes()
	}
	c := &Cluster{deployment: d, network: netsim.New(d.Latency()), log: log, prepare: prepare, ttlSeconds: ttlSeconds, servers: map[string]*simsrv.Server{}}
	stop := c.stop
	if err := c.startPlatform(); err != nil {
		stop()
		return nil, nil, err
	}
	if err := c.startServers(); err != nil {
		stop()
		return nil, nil, err
	}
	for i := range nodes {
		if err := c.addNode(i); err != nil {
			stop()
			return nil, nil, err
		}
	}
	return c, stop, nil
}

func (c *Cluster) stop() {
	c.mu.Lock()
	nodes := append([]*runningNode(nil), c.nodes...)
	c.mu.Unlock()
	var wg sync.WaitGroup
	for i, n := range nodes {
		if n == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.network.SetPaused(c.addrs[i], false)
			c.abort(n)
		}()
	}
	wg.Wait()
	for i := len(c.cleanups) - 1; i >= 0; i-- {
		c.cleanups[i]()
	}
}

func (c *Cluster) startPlatform() error {
	c.platform = simplt.New()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	srv := &http.Server{Handler: c.platform, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	c.cleanups = append(c.cleanups, func() { _ = srv.Close() })
	c.platformURL = "http://" + ln.Addr().String()
	return nil
}

func (c *Cluster) startServers() error {
	for _, config := range c.deployment.Servers() {
		s := simsrv.New(config)
		stop, err := s.Start("127.0.0.1:0")
		if err != nil {
			return err
		}
		c.cleanups = append(c.cleanups, stop)
		c.servers[config.Name()] = s
	}
	cfg := c.deployment.Config(func(name string) string { return c.servers[name].Addr() })
	for _, s := range cfg.Services() {
		for _, spec := range s.Servers() {
			c.network.SetZone(spec.Addr(), spec.Zone())
		}
	}
	return repo.New(htplat.New(c.platformURL, 0)).PutConfig(context.Background(), cfg, 0)
}

// freeAddr returns a loopback address with a port that is not in use.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// addNode adds node i, whose index is the next free one, and starts it.
func (c *Cluster) addNode(i int) error {
	addr, err := freeAddr()
	if err != nil {
		return errors.Wrap(err, "start node")
	}
	c.addrs = append(c.addrs, addr)
	c.network.SetZone(addr, c.zoneOf(i))
	c.mu.Lock()
	c.nodes = append(c.nodes, nil)
	c.mu.Unlock()
	return c.StartNode(i)
}

func (c *Cluster) zoneOf(i int) string { return c.deployment.Zones()[i%len(c.deployment.Zones())] }

// NodeName returns the name of node i. The first node is number 0.
func (c *Cluster) NodeName(i int) string { return fmt.Sprintf("entry-%02d", i+1) }

// StartNode starts node i at the address that it had before. The node must not be
// running.
func (c *Cluster) StartNode(i int) error {
	data, err := json.Marshal(map[string]any{
		"name": c.NodeName(i), "zone": c.zoneOf(i), "listen": c.addrs[i], "platform": c.platformURL, "ttl_seconds": c.ttlSeconds, "peers": c.addrs,
	})
	if err != nil {
		return errors.Wrap(err, "start node")
	}
	settings, problems := config.Parse(data)
	if len(problems) > 0 {
		return errors.Errorf("start node: invalid settings: %v", problems)
	}
	n, release, err := node.New(settings, c.log, c.network.Decorate(c.addrs[i]))
	if err != nil {
		return err
	}
	if c.prepare != nil {
		c.prepare(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	rn := &runningNode{node: n, ctx: ctx, stop: stop, done: make(chan error, 1), release: release}
	go func() { rn.done <- n.Serve(ctx) }()
	c.mu.Lock()
	c.nodes[i] = rn
	c.mu.Unlock()
	c.platform.AddInstance(c.NodeName(i), c.addrs[i], c.zoneOf(i))
	return nil
}

// detach marks node i as not running and returns it, or nil if it does not run.
func (c *Cluster) detach(i int) *runningNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	rn := c.nodes[i]
	c.nodes[i] = nil
	return rn
}

// StopNode stops node i gracefully and waits until it has stopped.
func (c *Cluster) StopNode(i int) {
	if rn := c.detach(i); rn != nil {
		rn.stop()
		<-rn.done
		rn.release()
	}
}

// KillNode stops node i without a graceful stop, as a crash does.
func (c *Cluster) KillNode(i int) {
	if rn := c.detach(i); rn != nil {
		c.abort(rn)
	}
}

func (c *Cluster) abort(rn *runningNode) {
	rn.node.Abort()
	<-rn.done
	rn.stop()
	rn.release()
}

// SetPaused suspends node i, as SIGSTOP does to a process, or resumes it.
func (c *Cluster) SetPaused(i int, paused bool) { c.network.SetPaused(c.addrs[i], paused) }

// SetPartition sets whether node i is cut off from the other nodes and from the
// platform.
func (c *Cluster) SetPartition(i int, fromPeers, fromPlatform bool) {
	c.network.SetPartition(c.addrs[i], fromPeers, fromPlatform)
}

// Nodes returns the number of nodes, including those that do not run.
func (c *Cluster) Nodes() int { return len(c.addrs) }

// Node returns node i, or nil if it does not run.
func (c *Cluster) Node(i int) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[i] == nil {
		return nil
	}
	return c.nodes[i].node
}

// Addrs returns the addresses of all nodes, by index.
func (c *Cluster) Addrs() []string { return c.addrs }

// Servers returns the simulated servers by name.
func (c *Cluster) Servers() map[string]*simsrv.Server { return c.servers }

// Platform returns the simulated platform.
func (c *Cluster) Platform() *simplt.Platform { return c.platform }

// Deployment returns the description of the deployment.
func (c *Cluster) Deployment() *deploy.Deployment { return c.deployment }

// WaitReady waits until every running node has a lease, a placement that includes all
// nodes, and a status of every server that shows it as up, and until each server has
// an owner that may send requests to it.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for {
		reason := c.notReadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("deployment is not ready: %s", reason)
		case <-time.After(readyPollInterval):
		}
	}
}

// notReadyReason returns why the deployment is not ready, or "" when it is.
func (c *Cluster) notReadyReason() string {
	sendAllowed := 0
	for i := range c.Nodes() {
		n := c.Node(i)
		if n == nil {
			continue
		}
		reason := ""
		n.Control().Do(func(w *world.World) { reason = nodeNotReadyReason(w, c.Nodes(), &sendAllowed) })
		if reason != "" {
			return c.NodeName(i) + " " + reason
		}
	}
	if sendAllowed < len(c.servers) {
		return fmt.Sprintf("%d of %d servers have an owner that may send requests", sendAllowed, len(c.servers))
	}
	return ""
}

// nodeNotReadyReason returns why one node is not ready, or "" when it is. It
// increments sendAllowed for each server that the node may send requests to.
func nodeNotReadyReason(w *world.World, nodes int, sendAllowed *int) string {
	if w.LeaseUntil() <= w.Clock().Now() {
		return "has no lease"
	}
	if len(w.Placement().Members()) < nodes {
		return fmt.Sprintf("has a placement with %d of %d nodes", len(w.Placement().Members()), nodes)
	}
	for i := range w.Servers().Len() {
		row := w.Servers().At(i)
		if row.SendAllowed() {
			*sendAllowed++
		}
		if status := row.Status(); !status.Up() {
			return "has no status that shows server " + w.Servers().Key(i) + " as up"
		}
	}
	return ""
}

// Change submits a configuration change through the operator API of node i.
func (c *Cluster) Change(ctx context.Context, i int, kind, name string, ifVersion uint64, body any) (submit.Result, error) {
	return submit.Send(ctx, c.addrs[i], kind, name, ifVersion, body)
}

// ZoneVersion returns the version of a zone's declaration on node i, or 0 if the
// node has no such declaration or does not run.
func (c *Cluster) ZoneVersion(i int, zone string) uint64 {
	var version uint64
	if n := c.Node(i); n != nil {
		n.Control().Do(func(w *world.World) {
			if z, ok := w.Zones().Find(zone); ok {
				version = z.Version()
			}
		})
	}
	return version
}

// Config returns the configuration in use on node i, or a zero Config if the node
// does not run.
func (c *Cluster) Config(i int) lagoon.Config {
	var cfg lagoon.Config
	if n := c.Node(i); n != nil {
		n.Control().Do(func(w *world.World) { cfg = w.Config() })
	}
	return cfg
}
