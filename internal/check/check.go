// Package check validates declared resources.
//
// # Usage
//
//	problems := check.Config(cfg)
//	if len(problems) > 0 { return check.Join(problems) }
//
// It reports all problems, each with the field, the value and the allowed values.
package check

import (
	"fmt"
	"net"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// Limits of resources.
const (
	maxSlots         = 1024
	maxConns         = 100000
	maxShards        = 4096
	maxServers       = 4096
	maxDeadlineMilli = 60000
	maxHedgePercent  = 20
	maxWeight        = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// problems collects the problems of a configuration.
type problems []string

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

// within adds a problem if a number is out of range.
func (p *problems) within(field string, value, low, high int) {
	if value < low || value > high {
		p.add("%s is %d; must be between %d and %d", field, value, low, high)
	}
}

func (p *problems) name(field, value string) {
	if !namePattern.MatchString(value) {
		p.add("%s is %q; must be 1 to 63 lower-case letters, digits, dots and hyphens", field, value)
	}
}

// Join returns one error that lists the problems.
func Join(problems []string) error { return errors.New(strings.Join(problems, "; ")) }

// Config returns the problems of a configuration, or nil if it is valid.
func Config(c lagoon.Config) []string {
	var found problems
	zones := map[string]bool{}
	for i, z := range c.Zones() {
		found.zone(fmt.Sprintf("zones[%d]", i), z)
		zones[z.Name()] = true
	}
	services := map[string]bool{}
	serviceOf := map[string]string{} // by server
	for i, s := range c.Services() {
		found.service(fmt.Sprintf("services[%d]", i), s, zones, serviceOf)
		services[s.Name()] = true
	}
	ruleOf := map[string]string{} // by service
	for i, r := range c.Rules() {
		path := fmt.Sprintf("rules[%d]", i)
		found.rule(path, r, services)
		if other, ok := ruleOf[r.Service()]; ok {
			found.add("%s.service is %q, which already has rule %q; a service must have at most one rule", path, r.Service(), other)
		}
		ruleOf[r.Service()] = r.Name()
	}
	return found
}

func (p *problems) zone(path string, z lagoon.Zone) {
	p.name(path+".name", z.Name())
	if z.State() != "in" && z.State() != "out" {
		p.add("%s.state is %q; must be \"in\" or \"out\"", path, z.State())
	}
}

func (p *problems) service(path string, s lagoon.Service, zones map[string]bool, serviceOf map[string]string) {
	p.name(path+".name", s.Name())
	p.within(path+".map_version", int(min(s.MapVersion(), 1<<31)), 1, 1<<30)
	p.within(path+".shards (number of entries)", len(s.Shards()), 1, maxShards)
	p.within(path+".servers (number of entries)", len(s.Servers()), 0, maxServers)
	groups := map[string]bool{}
	for i, spec := range s.Servers() {
		serverPath := fmt.Sprintf("%s.servers[%d]", path, i)
		p.server(serverPath, spec, zones)
		groups[spec.Group()] = true
		if other, ok := serviceOf[spec.Name()]; ok {
			p.add("%s.name is %q, which a server of service %q already has; server names must be unique", serverPath, spec.Name(), other)
		}
		serviceOf[spec.Name()] = s.Name()
	}
	shardIDs := map[uint32]bool{}
	for i, shard := range s.Shards() {
		if shardIDs[shard.ID()] {
			p.add("%s.shards[%d].id is %d, which is a duplicate; shard ids must be unique", path, i, shard.ID())
		}
		shardIDs[shard.ID()] = true
		if len(s.Servers()) > 0 && !groups[shard.Group()] {
			p.add("%s.shards[%d].group is %q, which no server of the service belongs to", path, i, shard.Group())
		}
	}
}

func (p *problems) server(path string, s lagoon.ServerSpec, zones map[string]bool) {
	p.name(path+".name", s.Name())
	p.name(path+".group", s.Group())
	p.within(path+".slots", s.Slots(), 1, maxSlots)
	p.within(path+".conns", s.MaxConns(), 1, maxConns)
	if s.MaxConns() >= 1 && s.MaxConns() < s.Slots() {
		p.add("%s.conns is %d; must be at least slots, %d, because each running request needs a connection", path, s.MaxConns(), s.Slots())
	}
	if !zones[s.Zone()] {
		p.add("%s.zone is %q, which is not declared", path, s.Zone())
	}
	if _, _, err := net.SplitHostPort(s.Addr()); err != nil {
		p.add("%s.addr is %q; must be an address with a port: %v", path, s.Addr(), err)
	}
}

func (p *problems) rule(path string, r lagoon.Rule, services map[string]bool) {
	p.name(path+".name", r.Name())
	if !services[r.Service()] {
		p.add("%s.service is %q, which is not declared", path, r.Service())
	}
	if r.Prefer() != "" && r.Prefer() != "tail" && r.Prefer() != "coverage" {
		p.add("%s.prefer is %q; must be \"tail\" or \"coverage\"", path, r.Prefer())
	}
	if r.MinCoverage() < 0 || r.MinCoverage() > 1 {
		p.add("%s.min_coverage is %v; must be between 0 and 1", path, r.MinCoverage())
	}
	if r.HedgePercent() < 0 || r.HedgePercent() > maxHedgePercent {
		p.add("%s.hedge_percent is %v; must be between 0 and %d", path, r.HedgePercent(), maxHedgePercent)
	}
	p.within(path+".weight", r.Weight(), 0, maxWeight)
	p.within(path+".deadline_milli", r.DeadlineMilli(), 0, maxDeadlineMilli)
}
