// Package peers holds the columns of one other node in the control tables.
//
// # Usage
//
//	row := table.Ensure("frontend-macon-a-1")
//	row.SetHeartbeatAt(now)
package peers

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is one other node.
type Row struct {
	member           lagoon.Member   // the node's latest known run, as it announced itself or sent it in a heartbeat
	knownAt          time.Duration   // when this run became known
	heartbeatAt      time.Duration   // when its last heartbeat was received; 0 for never
	ready            bool            // whether it accepts requests
	stopping         bool            // whether it is stopping
	live             bool            // whether it counts as live
	liveAt           time.Duration   // when it last counted as live
	hub              bool            // whether it watches the registry on behalf of others
	requestRate      float64         // the requests per second that it receives
	callsFailedAt    time.Duration   // when a heartbeat of it last said that its registry calls fail; 0 for never
	totalRequestRate float64         // the requests per second of all nodes, as it reports as a hub
	pushedStartID    uint64          // the start ID of the run to which this node, as a hub, has sent all topics
	roster           map[string]bool // the nodes that it, as a hub, lists as live
	rosterVersion    uint64          // the version of its roster that this node holds
	rosterAt         time.Duration   // when the roster of this hub that this node holds was last current
	rosterAcked      uint64          // the version of this node's roster that it holds
	cutOffNodes      []string        // the nodes whose registry calls fail, as it reports as a hub
	needsUpdate      bool            // whether it missed an update and its own registry calls fail
	pushedAt         time.Duration   // when this node, as a hub, last sent it all topics
	callsFailingFor  time.Duration   // for how long its registry calls had failed at its last heartbeat
	granter          string          // the node that grants it quota tokens, as it last said; empty for a node of an earlier release
	askedAt          time.Duration   // when it last asked this node for quota tokens; 0 for never
	avoidUntil       time.Duration   // until when this node asks it for no quota tokens, because an answer is missing; 0 if none is
	trafficShare     float64         // its share of all request traffic, as it last reported it; 0 if it does not know one
	assignedShare    float64         // its share of all request traffic, as this node assigns it as a hub
	assignedAt       time.Duration   // when this share was last computed; 0 for never
}
