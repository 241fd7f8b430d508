// Package rig runs a whole deployment in one process: the platform's stand-in,
// stand-in servers and real nodes over loopback TCP.
//
// # Usage
//
//	r, stop, err := rig.Start(deployment, options)
//	defer stop()
//	err = r.Ready(ctx)
//	r.Servers()["archive-desk-00a"].Restart(time.Second)
//
// The bench, the demo and the failure tests share it.
package rig

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
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/htplat"
	"github.com/lagoontrail/lagoon/internal/netw"
	"github.com/lagoontrail/lagoon/internal/node"
	"github.com/lagoontrail/lagoon/internal/repo"
	"github.com/lagoontrail/lagoon/internal/sets"
	"github.com/lagoontrail/lagoon/internal/stdplt"
	"github.com/lagoontrail/lagoon/internal/stdsrv"
	"github.com/lagoontrail/lagoon/internal/submit"
	"github.com/lagoontrail/lagoon/internal/world"
)

// readyPoll is the time between two looks at whether the nodes are ready.
const readyPoll = 20 * time.Millisecond

// Rig is a running deployment. Make it with Start.
type Rig struct {
	deployment *deploy.Deployment
	net        *netw.Net
	log        *logrus.Logger
	prepare    func(*node.Node)
	ttl        int
	platform   *stdplt.Platform
	platURL    string
	servers    map[string]*stdsrv.Server
	addrs      []string
	stops      []func()

	mu    sync.Mutex
	nodes []*running
}

// running is one node with what ends it.
type running struct {
	node *node.Node
	ctx  context.Context
	stop context.CancelFunc
	done chan error
	free func()
}

// Start starts a deployment with a number of nodes; 0 takes its own number.
// prepare, when not nil, may change a node before it serves. ttl is how long
// callers keep addresses, in seconds. The clean-up function ends everything.
func Start(d *deploy.Deployment, nodes, ttl int, log *logrus.Logger, prepare func(*node.Node)) (*Rig, func(), error) {
	if nodes == 0 {
		nodes = d.Nodes()
	}
	r := &Rig{deployment: d, net: netw.New(d.Latency()), log: log, prepare: prepare, ttl: ttl, servers: map[string]*stdsrv.Server{}}
	stop := r.stopAll
	if err := r.startPlatform(); err != nil {
		stop()
		return nil, nil, err
	}
	if err := r.startServers(); err != nil {
		stop()
		return nil, nil, err
	}
	for i := range nodes {
		if err := r.addNode(i); err != nil {
			stop()
			return nil, nil, err
		}
	}
	return r, stop, nil
}

func (r *Rig) stopAll() {
	r.mu.Lock()
	nodes := append([]*running(nil), r.nodes...)
	r.mu.Unlock()
	var wg sync.WaitGroup
	for i, n := range nodes {
		if n == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.net.Pause(r.addrs[i], false)
			r.end(n)
		}()
	}
	wg.Wait()
	for i := len(r.stops) - 1; i >= 0; i-- {
		r.stops[i]()
	}
}

func (r *Rig) startPlatform() error {
	r.platform = stdplt.New()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	srv := &http.Server{Handler: r.platform, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	r.stops = append(r.stops, func() { _ = srv.Close() })
	r.platURL = "http://" + ln.Addr().String()
	return nil
}

func (r *Rig) startServers() error {
	for _, shape := range r.deployment.Servers() {
		s := stdsrv.New(shape)
		stop, err := s.Start("127.0.0.1:0")
		if err != nil {
			return err
		}
		r.stops = append(r.stops, stop)
		r.servers[shape.Name()] = s
	}
	cfg := r.deployment.Config(func(name string) string { return r.servers[name].Addr() })
	for _, s := range cfg.Services() {
		for _, spec := range s.Servers() {
			r.net.Place(spec.Addr(), spec.Zone())
		}
	}
	return repo.New(htplat.New(r.platURL, 0)).PutConfig(context.Background(), cfg, 0)
}

// freeAddr returns a loopback address that is free now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// addNode starts node i for the first time.
func (r *Rig) addNode(i int) error {
	addr, err := freeAddr()
	if err != nil {
		return errors.Wrap(err, "start node")
	}
	r.addrs = append(r.addrs, addr)
	r.net.Place(addr, r.zoneOf(i))
	r.mu.Lock()
	r.nodes = append(r.nodes, nil)
	r.mu.Unlock()
	return r.StartNode(i)
}

func (r *Rig) zoneOf(i int) string { return r.deployment.Zones()[i%len(r.deployment.Zones())] }

// NodeName returns the name of node i.
func (r *Rig) NodeName(i int) string { return fmt.Sprintf("entry-%02d", i+1) }

// StartNode starts node i, which does not run, at its address.
func (r *Rig) StartNode(i int) error {
	data, err := json.Marshal(map[string]any{
		"name": r.NodeName(i), "zone": r.zoneOf(i), "listen": r.addrs[i], "platform": r.platURL, "ttl_seconds": r.ttl, "peers": r.addrs,
	})
	if err != nil {
		return errors.Wrap(err, "start node")
	}
	s, faults := sets.Read(data)
	if len(faults) > 0 {
		return errors.Errorf("start node: %v", faults)
	}
	n, free, err := node.New(s, r.log, r.net.Decorate(r.addrs[i]))
	if err != nil {
		return err
	}
	if r.prepare != nil {
		r.prepare(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	x := &running{node: n, ctx: ctx, stop: stop, done: make(chan error, 1), free: free}
	go func() { x.done <- n.Serve(ctx) }()
	r.mu.Lock()
	r.nodes[i] = x
	r.mu.Unlock()
	r.platform.AddInstance(r.NodeName(i), r.addrs[i], r.zoneOf(i))
	return nil
}

// take returns node i and forgets it.
func (r *Rig) take(i int) *running {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.nodes[i]
	r.nodes[i] = nil
	return x
}

// StopNode stops node i gracefully and waits for it.
func (r *Rig) StopNode(i int) {
	if x := r.take(i); x != nil {
		x.stop()
		<-x.done
		x.free()
	}
}

// KillNode ends node i as a crash would.
func (r *Rig) KillNode(i int) {
	if x := r.take(i); x != nil {
		r.end(x)
	}
}

func (r *Rig) end(x *running) {
	x.node.Abort()
	<-x.done
	x.stop()
	x.free()
}

// Pause stops node i as a stopped process would be, or resumes it.
func (r *Rig) Pause(i int, on bool) { r.net.Pause(r.addrs[i], on) }

// Cut cuts node i off from the other nodes, the platform, or both.
func (r *Rig) Cut(i int, peers, store bool) { r.net.Cut(r.addrs[i], peers, store) }

// Nodes returns the number of nodes, running or not.
func (r *Rig) Nodes() int { return len(r.addrs) }

// Node returns node i, or nil while it does not run.
func (r *Rig) Node(i int) *node.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nodes[i] == nil {
		return nil
	}
	return r.nodes[i].node
}

// Addrs returns the addresses of the nodes.
func (r *Rig) Addrs() []string { return r.addrs }

// Servers returns the stand-in servers by name.
func (r *Rig) Servers() map[string]*stdsrv.Server { return r.servers }

// Platform returns the platform's stand-in.
func (r *Rig) Platform() *stdplt.Platform { return r.platform }

// Deployment returns what is deployed.
func (r *Rig) Deployment() *deploy.Deployment { return r.deployment }

// Ready waits until every node has a lease, all nodes are members and every
// server is admitted for and up.
func (r *Rig) Ready(ctx context.Context) error {
	for {
		missing := r.missing()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("the deployment is not ready: %s", missing)
		case <-time.After(readyPoll):
		}
	}
}

func (r *Rig) missing() string {
	acting := 0
	for i := range r.Nodes() {
		n := r.Node(i)
		if n == nil {
			continue
		}
		missing := ""
		n.Control().Do(func(w *world.World) { missing = lacks(w, r.Nodes(), &acting) })
		if missing != "" {
			return r.NodeName(i) + " " + missing
		}
	}
	if acting < len(r.servers) {
		return fmt.Sprintf("%d of %d servers are admitted for", acting, len(r.servers))
	}
	return ""
}

func lacks(w *world.World, nodes int, acting *int) string {
	if w.LeaseUntil() <= w.Clock().Now() {
		return "has no lease"
	}
	if len(w.Placement().Members()) < nodes {
		return fmt.Sprintf("knows %d members of %d", len(w.Placement().Members()), nodes)
	}
	for i := range w.Servers().Len() {
		row := w.Servers().At(i)
		if row.Acting() {
			*acting++
		}
		if status := row.Status(); !status.Up() {
			return "has not heard that " + w.Servers().Key(i) + " is up"
		}
	}
	return ""
}

// Change makes an operator's change through the API of node i.
func (r *Rig) Change(ctx context.Context, i int, kind, name string, ifVersion uint64, body any) (submit.Result, error) {
	return submit.Send(ctx, r.addrs[i], kind, name, ifVersion, body)
}

// ZoneVersion returns the version of a zone's declaration that node i knows.
func (r *Rig) ZoneVersion(i int, zone string) uint64 {
	var version uint64
	if n := r.Node(i); n != nil {
		n.Control().Do(func(w *world.World) {
			if z, ok := w.Zones().Find(zone); ok {
				version = z.Version()
			}
		})
	}
	return version
}

// Config returns the configuration that node i uses.
func (r *Rig) Config(i int) lagoon.Config {
	var c lagoon.Config
	if n := r.Node(i); n != nil {
		n.Control().Do(func(w *world.World) { c = w.Config() })
	}
	return c
}
