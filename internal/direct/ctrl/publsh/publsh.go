// Package publsh publishes views of the control tables to traffic.
//
// # Usage
//
//	systems = append(systems, publsh.System{})
package publsh

import (
	"sort"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/orgs"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// maxRosterWait is how long after its start a node without a hub's roster refers no
// callers to other nodes, so that they keep the addresses that they have. It spans
// two heartbeats of a hub, each of which may bring the list of live nodes.
const maxRosterWait = time.Second

// System publishes views.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "show" }

// Run publishes a view if the last one is out of date.
func (System) Run(s *state.State, now time.Duration) {
	if !s.RosterKnown() && rosterKnown(s, now) {
		s.SetRosterKnown(true)
		s.SetViewStale(true)
	}
	catalog := currency(s, now)
	if !s.ViewStale() && !waitEnded(s) {
		renew(s, catalog)
		return
	}
	s.SetViewStale(false)
	v := &view.View{}
	v.SetSelf(s.Self())
	v.SetCatalog(s.Catalog())
	v.SetSynced(s.Ready())
	v.SetRegistryReachable(s.RegistryReachable())
	v.SetRosterKnown(s.RosterKnown())
	v.SetStopping(s.Stopping())
	v.SetRefuseAt(s.RefuseAt())
	v.SetStopAt(s.StopAt())
	v.SetCatalogOutdated(catalog.outdated)
	v.SetCatalogValidUntil(catalog.validUntil)
	setCatalog(s, v)
	setServers(s, v, now)
	setTerms(s, v)
	setMembers(s, v)
	s.PublishedView().Store(v)
}

// rosterKnown reports whether a hub has listed the live nodes, or would have done
// so by now. Until then, the view may list only the node itself.
func rosterKnown(s *state.State, now time.Duration) bool {
	for i := range s.Peers().Len() {
		if s.Peers().At(i).Roster() != nil {
			return true
		}
	}
	return now-s.StartedAt() >= maxRosterWait
}

// setCatalog sets the routes and services, which are reused from the current view
// while the catalog is the same.
func setCatalog(s *state.State, v *view.View) {
	if old := s.PublishedView().Load(); old != nil && old.Catalog().Revision() == s.Catalog().Revision() && old.Routes() != nil {
		v.SetRoutes(old.Routes())
		v.SetPools(old.Pools())
		v.SetOrganisations(old.Organisations())
		v.SetIdentified(old.Identified())
		return
	}
	catalog := s.Catalog()
	declared := catalog.Routes()
	routes := map[string][]*lagoon.Route{}
	for i := range declared {
		r := &declared[i]
		routes[r.Host()] = append(routes[r.Host()], r)
	}
	for _, hostRoutes := range routes {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix()) > len(hostRoutes[j].Prefix()) })
	}
	pools := map[string]lagoon.Pool{}
	for _, p := range catalog.Pools() {
		pools[p.Name()] = p
	}
	v.SetRoutes(routes)
	v.SetPools(pools)
	if organisations := catalog.Organisations(); len(organisations) > 0 {
		v.SetOrganisations(orgs.New(organisations))
	}
	v.SetIdentified(catalog.Identified() || len(catalog.Organisations()) > 0)
}

// setServers sets the servers that may get requests. A server whose announcement
// was removed is listed as draining.
func setServers(s *state.State, v *view.View, now time.Duration) {
	byService := map[string][]lagoon.Replica{}
	ids := map[string]bool{}
	coldUntil, usableUntil := map[string]time.Duration{}, map[string]time.Duration{}
	s.SetWaitingRevision(0)
	observeVersions(s)
	services := settledVersions(s)
	for i := range s.Servers().Len() {
		row := s.Servers().At(i)
		replica := row.Replica()
		if !versionUsable(s, services, &replica) {
			continue
		}
		if s.ZonesOut()[replica.Zone()] || (row.UsableUntil() > 0 && now >= row.UsableUntil()) {
			continue
		}
		if row.UnannouncedAt() > 0 {
			replica.SetDraining(true)
		}
		ids[replica.ID()] = true
		byService[replica.Service()] = append(byService[replica.Service()], replica)
		if row.UsableUntil() > 0 {
			usableUntil[replica.ID()] = row.UsableUntil()
		}
		if replica.ColdDuration() > 0 {
			coldUntil[replica.ID()] = row.AnnouncedAt() + replica.ColdDuration()
		}
	}
	v.SetServersByService(byService)
	v.SetServerIDs(ids)
	v.SetColdUntil(coldUntil)
	v.SetUsableUntil(usableUntil)
}

// setMembers sets the live nodes that accept requests, and the share divisor.
func setMembers(s *state.State, v *view.View) {
	var members []lagoon.Member
	if !s.Stopping() {
		members = append(members, s.Self())
	}
	for i := range s.Peers().Len() {
		if row := s.Peers().At(i); row.Live() {
			members = append(members, row.Member())
		}
	}
	v.SetMembers(members)
	v.SetShareDivisor(max(s.ShareDivisor(), 1))
	v.SetColdDivisor(max(s.ColdDivisor(), 1))
}
