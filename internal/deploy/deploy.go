// Package deploy describes deployments for the bench, the demo and the
// examples: the users' two, at the sizes that they give, and a small one.
//
// # Usage
//
//	d, err := deploy.Named("nordlys")
//	cfg := d.Config(addrOf)      // addrOf gives each server its address
package deploy

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/stdshp"
)

// Deployment describes zones, services and servers.
type Deployment struct {
	name     string
	zones    []string
	latency  time.Duration
	nodes    int
	services []service
}

// service describes one service. Either it has groups of three servers, one
// shard for each group, or one group of all its servers.
type service struct {
	name     string
	groups   int
	replicas int
	slots    int
	conns    int
	open     time.Duration
	prefer   string
	weight   int
	write    bool
}

// server describes one server of a deployment.
type server struct {
	spec  lagoon.ServerSpec
	shape stdshp.Shape
}

// Shape of all stand-in servers.
const (
	meanTime       = 6 * time.Millisecond
	straggleShare  = 0.01
	straggleFactor = 12
	warmPerSlot    = 10
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
	return nil, errors.Errorf("deployment %q is unknown; allowed are small, nordlys and chattahoochee", name)
}

// Name returns the deployment's name.
func (d *Deployment) Name() string { return d.name }

// Zones returns the names of the zones.
func (d *Deployment) Zones() []string { return d.zones }

// Latency returns the one-way latency between zones.
func (d *Deployment) Latency() time.Duration { return d.latency }

// Nodes returns the number of nodes.
func (d *Deployment) Nodes() int { return d.nodes }

// Reads returns the names of the services with many shards, the heaviest
// first.
func (d *Deployment) Reads() []string {
	var out []string
	for _, s := range d.services {
		if s.groups > 1 {
			out = append(out, s.name)
		}
	}
	return out
}

// Writes returns the service that takes requests which are not idempotent.
func (d *Deployment) Writes() string {
	for _, s := range d.services {
		if s.write {
			return s.name
		}
	}
	return ""
}

// Servers returns the shapes of all servers.
func (d *Deployment) Servers() []stdshp.Shape {
	var out []stdshp.Shape
	for _, s := range d.services {
		for _, x := range d.serversOf(s) {
			out = append(out, x.shape)
		}
	}
	return out
}

func (d *Deployment) serversOf(s service) []server {
	var out []server
	for g := range s.groups {
		for r := range s.replicas {
			var x server
			name := fmt.Sprintf("%s-%02d%c", s.name, g, 'a'+r)
			x.shape.SetName(name)
			x.shape.SetSlots(s.slots)
			x.shape.SetConns(s.conns)
			x.shape.SetOpen(s.open)
			x.shape.SetMean(meanTime)
			x.shape.SetStraggle(straggleShare)
			x.shape.SetStraggleFactor(straggleFactor)
			x.shape.SetWarmPerSlot(warmPerSlot)
			x.spec.SetName(name)
			x.spec.SetGroup(fmt.Sprintf("%s-%02d", s.name, g))
			x.spec.SetZone(d.zones[(g+r)%len(d.zones)])
			x.spec.SetSlots(s.slots)
			x.spec.SetConns(s.conns)
			out = append(out, x)
		}
	}
	return out
}

// Config returns the first configuration. addrOf returns a server's address.
func (d *Deployment) Config(addrOf func(server string) string) lagoon.Config {
	var c lagoon.Config
	c.SetRevision(1)
	var zones []lagoon.Zone
	for _, name := range d.zones {
		var z lagoon.Zone
		z.SetName(name)
		z.SetVersion(1)
		z.SetState("in")
		zones = append(zones, z)
	}
	c.SetZones(zones)
	var services []lagoon.Service
	var rules []lagoon.Rule
	for _, s := range d.services {
		services = append(services, d.declare(s, addrOf))
		rules = append(rules, ruleFor(s))
	}
	c.SetServices(services)
	c.SetRules(rules)
	return c
}

func (d *Deployment) declare(s service, addrOf func(string) string) lagoon.Service {
	var out lagoon.Service
	out.SetName(s.name)
	out.SetVersion(1)
	out.SetMapVersion(1)
	var shards []lagoon.ShardSpec
	for g := range s.groups {
		var shard lagoon.ShardSpec
		shard.SetID(uint32(g))
		shard.SetGroup(fmt.Sprintf("%s-%02d", s.name, g))
		shards = append(shards, shard)
	}
	var specs []lagoon.ServerSpec
	for _, x := range d.serversOf(s) {
		x.spec.SetAddr(addrOf(x.spec.Name()))
		specs = append(specs, x.spec)
	}
	out.SetShards(shards)
	out.SetServers(specs)
	return out
}

func ruleFor(s service) lagoon.Rule {
	var r lagoon.Rule
	r.SetName(s.name)
	r.SetVersion(1)
	r.SetService(s.name)
	r.SetPrefer(s.prefer)
	r.SetHedgePercent(4)
	r.SetWeight(s.weight)
	r.SetDeadlineMilli(500)
	return r
}
