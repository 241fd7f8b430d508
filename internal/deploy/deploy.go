// Package deploy describes the deployments that the bench, the demo and the tests
// run: those of the two organisations that use lagoontrail, at the sizes that they
// state, and a small one.
//
// # Usage
//
//	d, err := deploy.Named("nordlys")
//	cfg := d.Config(addrOf)      // addrOf maps a server's name to its address
package deploy

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/simcfg"
)

// Deployment describes the zones, services and servers of one installation.
type Deployment struct {
	name     string
	zones    []string
	latency  time.Duration // one-way, between zones
	nodes    int
	services []service
}

// service describes one service: it has either many groups of three servers with one
// shard each, or one group with all its servers.
type service struct {
	name          string
	groups        int
	replicas      int           // servers in a group
	slots         int           // requests that a warm server runs concurrently
	maxConns      int           // the maximum number of connections that a server accepts
	connectTime   time.Duration // time to open a connection
	prefer        string        // the rule's preference, "tail" or "coverage"
	weight        int           // importance under overload, 1 to 100
	notIdempotent bool          // whether the bench sends requests to it that are not idempotent
}

// server is one server, as declared and as simulated.
type server struct {
	spec      lagoon.ServerSpec
	simConfig simcfg.Config
}

// Behaviour of every simulated server.
const (
	meanLatency       = 6 * time.Millisecond // of a request on a warm server
	stragglerFraction = 0.01
	stragglerFactor   = 12 // latency of a straggling request, in multiples of the mean
	warmUpPerSlot     = 10 // requests served before a cold server's capacity grows by one slot
)

// Named returns a deployment: small, nordlys or chattahoochee.
func Named(name string) (*Deployment, error) {
	switch name {
	case "small":
		return &Deployment{name: name, zones: []string{"cph-1", "cph-2", "cph-3"}, latency: 500 * time.Microsecond, nodes: 5, services: []service{
			{"archive-desk", 5, 3, 4, 75, 6 * time.Millisecond, "tail", 60, false},
			{"casting-book", 1, 6, 4, 200, time.Millisecond, "coverage", 80, true},
		}}, nil
	case "nordlys":
		return &Deployment{name: name, zones: []string{"cph-1", "cph-2", "cph-3"}, latency: 500 * time.Microsecond, nodes: 15, services: []service{
			{"archive-desk", 10, 3, 4, 75, 6 * time.Millisecond, "tail", 60, false},
			{"retouch-queue", 15, 3, 4, 75, 6 * time.Millisecond, "tail", 40, false},
			{"casting-book", 1, 20, 4, 200, time.Millisecond, "coverage", 80, true},
			{"client-proofs", 1, 10, 4, 200, time.Millisecond, "tail", 30, false},
		}}, nil
	case "chattahoochee":
		return &Deployment{name: name, zones: []string{"ga-1", "ga-2", "ga-3", "ga-4"}, latency: 1500 * time.Microsecond, nodes: 15, services: []service{
			{"settle-desk", 10, 3, 3, 65, 6 * time.Millisecond, "coverage", 80, false},
			{"venue-days", 15, 3, 3, 65, 6 * time.Millisecond, "coverage", 50, false},
			{"payout-history", 1, 25, 2, 75, time.Millisecond, "coverage", 70, true},
			{"lodging-desk", 1, 13, 2, 75, time.Millisecond, "coverage", 40, false},
		}}, nil
	}
	return nil, errors.Errorf("deployment %q is unknown; must be small, nordlys or chattahoochee", name)
}

// Name returns the deployment's name.
func (d *Deployment) Name() string { return d.name }

// Zones returns the names of the zones.
func (d *Deployment) Zones() []string { return d.zones }

// Latency returns the one-way network latency between zones.
func (d *Deployment) Latency() time.Duration { return d.latency }

// Nodes returns the default number of nodes.
func (d *Deployment) Nodes() int { return d.nodes }

// ReadServices returns the names of the sharded services, by descending weight.
func (d *Deployment) ReadServices() []string {
	var names []string
	for _, s := range d.services {
		if s.groups > 1 {
			names = append(names, s.name)
		}
	}
	return names
}

// WriteService returns the service to which the bench sends requests that are not
// idempotent, or "" if there is none.
func (d *Deployment) WriteService() string {
	for _, s := range d.services {
		if s.notIdempotent {
			return s.name
		}
	}
	return ""
}

// Servers returns the configuration of each simulated server.
func (d *Deployment) Servers() []simcfg.Config {
	var configs []simcfg.Config
	for _, s := range d.services {
		for _, srv := range d.serversOf(s) {
			configs = append(configs, srv.simConfig)
		}
	}
	return configs
}

func (d *Deployment) serversOf(s service) []server {
	var servers []server
	for group := range s.groups {
		for replica := range s.replicas {
			var srv server
			name := fmt.Sprintf("%s-%02d%c", s.name, group, 'a'+replica)
			srv.simConfig.SetName(name)
			srv.simConfig.SetSlots(s.slots)
			srv.simConfig.SetMaxConns(s.maxConns)
			srv.simConfig.SetConnectTime(s.connectTime)
			srv.simConfig.SetMeanLatency(meanLatency)
			srv.simConfig.SetStragglerFraction(stragglerFraction)
			srv.simConfig.SetStragglerFactor(stragglerFactor)
			srv.simConfig.SetWarmUpPerSlot(warmUpPerSlot)
			srv.spec.SetName(name)
			srv.spec.SetGroup(fmt.Sprintf("%s-%02d", s.name, group))
			srv.spec.SetZone(d.zones[(group+replica)%len(d.zones)])
			srv.spec.SetSlots(s.slots)
			srv.spec.SetMaxConns(s.maxConns)
			servers = append(servers, srv)
		}
	}
	return servers
}

// Config returns the initial configuration. addrOf returns the address of a server.
func (d *Deployment) Config(addrOf func(server string) string) lagoon.Config {
	var cfg lagoon.Config
	cfg.SetRevision(1)
	var zones []lagoon.Zone
	for _, name := range d.zones {
		var z lagoon.Zone
		z.SetName(name)
		z.SetVersion(1)
		z.SetState("in")
		zones = append(zones, z)
	}
	cfg.SetZones(zones)
	var services []lagoon.Service
	var rules []lagoon.Rule
	for _, s := range d.services {
		services = append(services, d.serviceConfig(s, addrOf))
		rules = append(rules, ruleFor(s))
	}
	cfg.SetServices(services)
	cfg.SetRules(rules)
	return cfg
}

func (d *Deployment) serviceConfig(s service, addrOf func(string) string) lagoon.Service {
	var cfg lagoon.Service
	cfg.SetName(s.name)
	cfg.SetVersion(1)
	cfg.SetMapVersion(1)
	var shards []lagoon.ShardSpec
	for group := range s.groups {
		var shard lagoon.ShardSpec
		shard.SetID(uint32(group))
		shard.SetGroup(fmt.Sprintf("%s-%02d", s.name, group))
		shards = append(shards, shard)
	}
	var specs []lagoon.ServerSpec
	for _, srv := range d.serversOf(s) {
		srv.spec.SetAddr(addrOf(srv.spec.Name()))
		specs = append(specs, srv.spec)
	}
	cfg.SetShards(shards)
	cfg.SetServers(specs)
	return cfg
}

func ruleFor(s service) lagoon.Rule {
	var rule lagoon.Rule
	rule.SetName(s.name)
	rule.SetVersion(1)
	rule.SetService(s.name)
	rule.SetPrefer(s.prefer)
	rule.SetHedgePercent(4)
	rule.SetWeight(s.weight)
	rule.SetDeadlineMilli(500)
	return rule
}
