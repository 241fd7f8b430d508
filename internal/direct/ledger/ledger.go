// Package ledger holds what a node knows about the granting of quota tokens: its granter, and its
// weight and clock as a granter itself.
//
// # Usage
//
//	row := s.Ledger()
//	row.SetGranter("frontend-macon-a-1")
package ledger

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

//go:generate go run ../../accgen -dir . -rows

// Row is the state of one node.
type Row struct {
	granter      string               // the node that grants tokens to this node, which may be itself; empty if none may
	usedAt       time.Duration        // when the catalog last declared organisations, or another node last asked for tokens; 0 if never
	chosenAt     time.Duration        // when the granter was last chosen
	announcing   bool                 // whether a heartbeat is due at once because the granter has changed
	unansweredAt time.Duration        // when the oldest request without an answer was sent to the granter; 0 if there is none
	askedAt      time.Duration        // when the last request was sent to the granter
	unanswered   *lagoon.QuotaRequest // the last request sent to the granter if it has no answer
	lostAt       time.Duration        // when the first request that no granter answered was sent; 0 since an answer
	share        float64              // this node's share of all request traffic, as a hub last assigned it; 0 if none did
	shareAt      time.Duration        // when this share was last assigned
	assignedAt   time.Duration        // when this node, as a hub, last assigned shares
	heardShare   float64              // the share of all traffic of the nodes that this node hears, as a hub
	heardLimit   float64              // the most that heardShare may be while the shares of some nodes that are not heard are unknown; set when this node becomes a hub

	hubSince time.Duration // since when this node is a hub; 0 if it is none

	weight    float64       // the share of all request traffic whose nodes name this node as their granter
	weighedAt time.Duration // when the weight was last computed
	weightDue bool          // whether the weight has to be computed anew, as nodes have changed their granter
	clock     float64       // the clock of the buckets: the integral of the weight over time, in seconds
	clockAt   time.Duration // when the clock was last advanced
	origin    float64       // the reading of the clock from which an organisation without a bucket accrues tokens
	credited  float64       // the weight for which the buckets got their initial tokens
}
