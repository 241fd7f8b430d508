// Package check finds the faults of declared resources.
//
// # Usage
//
//	faults := check.Config(cfg)
//	if len(faults) > 0 { return check.Join(faults) }
//
// It finds all faults at once; each names the field, the value and what is
// allowed.
package check

import (
	"fmt"
	"net"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// Bounds of resources.
const (
	maxSlots    = 1024
	maxConns    = 100000
	maxShards   = 4096
	maxServers  = 4096
	maxDeadline = 60000
	maxHedge    = 20
	maxWeight   = 100
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// faults collects faults.
type faults []string

func (f *faults) add(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

// within adds a fault when a number is out of range.
func (f *faults) within(field string, value, least, most int) {
	if value < least || value > most {
		f.add("%s is %d; allowed are %d to %d", field, value, least, most)
	}
}

func (f *faults) name(field, value string) {
	if !nameForm.MatchString(value) {
		f.add("%s is %q; allowed are 1 to 63 lower-case letters, digits, dots and dashes", field, value)
	}
}

// Join returns one error that lists the faults.
func Join(faults []string) error { return errors.New(strings.Join(faults, "; ")) }

// Config returns the faults of a configuration.
func Config(c lagoon.Config) []string {
	var f faults
	zones := map[string]bool{}
	for i, z := range c.Zones() {
		f.zone(fmt.Sprintf("zones[%d]", i), z)
		zones[z.Name()] = true
	}
	services := map[string]bool{}
	servers := map[string]string{}
	for i, s := range c.Services() {
		f.service(fmt.Sprintf("services[%d]", i), s, zones, servers)
		services[s.Name()] = true
	}
	ruled := map[string]string{}
	for i, r := range c.Rules() {
		path := fmt.Sprintf("rules[%d]", i)
		f.rule(path, r, services)
		if other, ok := ruled[r.Service()]; ok {
			f.add("%s.service is %q, which rule %q is already for; one rule per service is allowed", path, r.Service(), other)
		}
		ruled[r.Service()] = r.Name()
	}
	return f
}

func (f *faults) zone(path string, z lagoon.Zone) {
	f.name(path+".name", z.Name())
	if z.State() != "in" && z.State() != "out" {
		f.add("%s.state is %q; allowed are \"in\" and \"out\"", path, z.State())
	}
}

func (f *faults) service(path string, s lagoon.Service, zones map[string]bool, servers map[string]string) {
	f.name(path+".name", s.Name())
	f.within(path+".map_version", int(min(s.MapVersion(), 1<<31)), 1, 1<<30)
	f.within(path+".shards (their number)", len(s.Shards()), 1, maxShards)
	f.within(path+".servers (their number)", len(s.Servers()), 0, maxServers)
	groups := map[string]bool{}
	for i, spec := range s.Servers() {
		p := fmt.Sprintf("%s.servers[%d]", path, i)
		f.server(p, spec, zones)
		groups[spec.Group()] = true
		if other, ok := servers[spec.Name()]; ok {
			f.add("%s.name is %q, which service %q already has", p, spec.Name(), other)
		}
		servers[spec.Name()] = s.Name()
	}
	seen := map[uint32]bool{}
	for i, shard := range s.Shards() {
		if seen[shard.ID()] {
			f.add("%s.shards[%d].id is %d, which is already used; ids must differ", path, i, shard.ID())
		}
		seen[shard.ID()] = true
		if len(s.Servers()) > 0 && !groups[shard.Group()] {
			f.add("%s.shards[%d].group is %q, which no server of the service names", path, i, shard.Group())
		}
	}
}

func (f *faults) server(path string, s lagoon.ServerSpec, zones map[string]bool) {
	f.name(path+".name", s.Name())
	f.name(path+".group", s.Group())
	f.within(path+".slots", s.Slots(), 1, maxSlots)
	f.within(path+".conns", s.Conns(), 1, maxConns)
	if s.Conns() >= 1 && s.Conns() < s.Slots() {
		f.add("%s.conns is %d, below slots, %d; each running request needs a connection", path, s.Conns(), s.Slots())
	}
	if !zones[s.Zone()] {
		f.add("%s.zone is %q, which is not declared", path, s.Zone())
	}
	if _, _, err := net.SplitHostPort(s.Addr()); err != nil {
		f.add("%s.addr is %q; an address with a port is expected: %v", path, s.Addr(), err)
	}
}

func (f *faults) rule(path string, r lagoon.Rule, services map[string]bool) {
	f.name(path+".name", r.Name())
	if !services[r.Service()] {
		f.add("%s.service is %q, which is not declared", path, r.Service())
	}
	if r.Prefer() != "" && r.Prefer() != "tail" && r.Prefer() != "coverage" {
		f.add("%s.prefer is %q; allowed are \"tail\" and \"coverage\"", path, r.Prefer())
	}
	if r.MinCoverage() < 0 || r.MinCoverage() > 1 {
		f.add("%s.min_coverage is %v; allowed are 0 to 1", path, r.MinCoverage())
	}
	if r.HedgePercent() < 0 || r.HedgePercent() > maxHedge {
		f.add("%s.hedge_percent is %v; allowed are 0 to %d", path, r.HedgePercent(), maxHedge)
	}
	f.within(path+".weight", r.Weight(), 0, maxWeight)
	f.within(path+".deadline_milli", r.DeadlineMilli(), 0, maxDeadline)
}
