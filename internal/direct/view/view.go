// Package view holds the immutable view that control publishes to traffic: the
// catalog, the usable servers and the live nodes.
//
// # Usage
//
//	v := publishedView.Load()
//	route, ok := v.FindRoute("desk.example", "/looks/7")
//	for _, server := range v.ServersOf(service) { ... }
//
// A request keeps the view in force at its admission, so that the shards of its
// response come from one version of the catalog. The server of each attempt is chosen
// from the latest view.
package view

import (
	"strings"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/orgs"
	"github.com/lagoontrail/lagoon/internal/direct/terms"
)

//go:generate go run ../../accgen -dir . -rows

// View is one published state. The zero value has no routes and no servers.
type View struct {
	self              lagoon.Member               // this node
	catalog           lagoon.Catalog              // the catalog in use
	routes            map[string][]*lagoon.Route  // the routes of each host, longest prefix first
	pools             map[string]lagoon.Pool      // the declared services by name
	serversByService  map[string][]lagoon.Replica // the usable servers of each service; draining ones are used only as a last resort
	serverIDs         map[string]bool             // the IDs of all usable servers
	coldUntil         map[string]time.Duration    // the end of the cold phase of each cold server
	usableUntil       map[string]time.Duration    // until when each server that is leaving may be used
	members           []lagoon.Member             // the live nodes that accept requests, including this one
	coldDivisor       float64                     // the divisor of the rate of a cold server; 0 for that of the other limits
	shareDivisor      float64                     // the divisor of the servers' limits that gives this node's share, at least 1
	synced            bool                        // whether the catalog and the list of servers have been received
	registryReachable bool                        // whether the registry responds
	rosterKnown       bool                        // whether a hub has listed the live nodes, or would have done so by now
	stopping          bool                        // whether this node is stopping
	refuseAt          time.Duration               // from when the node refuses all new requests because it is stopping; 0 if it is not
	stopAt            time.Duration               // when the node ends the requests in progress because it is stopping; 0 if it is not
	identified        bool                        // whether requests on routes that are not public need the key of an organisation
	organisations     *orgs.Index                 // the organisations; nil without any
	catalogOutdated   bool                        // whether a newer catalog is known to exist
	catalogValidUntil time.Duration               // when the catalog was last confirmed, and the time within which a change must be in force; 0 if a catalog of any age may be used
	versionTerms      map[string]*terms.Terms     // the terms of each service with an open roll-out
}

// FindRoute returns the route of a host with the longest matching path prefix.
func (v *View) FindRoute(host, path string) (*lagoon.Route, bool) {
	for _, r := range v.routes[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return nil, false
}

// FindOrganisation returns the organisation that holds a key, or nil.
func (v *View) FindOrganisation(key string) *lagoon.Organisation { return v.organisations.Find(key) }

// OrganisationNamed returns the organisation with a name, or nil.
func (v *View) OrganisationNamed(name string) *lagoon.Organisation {
	if name == "" {
		return nil
	}
	return v.organisations.Named(name)
}

// ServersOf returns the usable servers of a service.
func (v *View) ServersOf(service string) []lagoon.Replica { return v.serversByService[service] }

// Pool returns the declaration of a service, or the zero value if there is none.
func (v *View) Pool(service string) lagoon.Pool { return v.pools[service] }

// UsableUntilOf returns until when a server that is leaving may be used, or 0 for any other.
// The view may be older than that when a paused process continues.
func (v *View) UsableUntilOf(id string) time.Duration { return v.usableUntil[id] }

// TermsOf returns the terms on which the versions of a service may be used, or nil if it has no
// open roll-out.
func (v *View) TermsOf(service string) *terms.Terms { return v.versionTerms[service] }

// ColdUntilOf returns the end of a server's cold phase, or 0 if it is not cold.
func (v *View) ColdUntilOf(id string) time.Duration { return v.coldUntil[id] }
