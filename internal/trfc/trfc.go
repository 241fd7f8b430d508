// Package trfc lists the traffic systems in the order in which a lane runs
// them.
//
// # Usage
//
//	l.SetSystems(trfc.Systems())
//
// The first half serves the node that took the query, the second half the node
// that owns the server. docs/DESIGN.md lists what each reads and writes.
package trfc

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/trfc/admit"
	"github.com/lagoontrail/lagoon/internal/trfc/claimr"
	"github.com/lagoontrail/lagoon/internal/trfc/eject"
	"github.com/lagoontrail/lagoon/internal/trfc/expire"
	"github.com/lagoontrail/lagoon/internal/trfc/finish"
	"github.com/lagoontrail/lagoon/internal/trfc/gather"
	"github.com/lagoontrail/lagoon/internal/trfc/hedger"
	"github.com/lagoontrail/lagoon/internal/trfc/offer"
	"github.com/lagoontrail/lagoon/internal/trfc/plan"
	"github.com/lagoontrail/lagoon/internal/trfc/pump"
	"github.com/lagoontrail/lagoon/internal/trfc/recall"
	"github.com/lagoontrail/lagoon/internal/trfc/send"
	"github.com/lagoontrail/lagoon/internal/trfc/settle"
)

// Systems returns a fresh list of the traffic systems for one lane.
func Systems() []lagoon.System[*lane.Lane] {
	return []lagoon.System[*lane.Lane]{
		&gather.System{},
		expire.System{},
		admit.System{},
		claimr.System{},
		&plan.System{},
		&hedger.System{},
		&send.System{},
		finish.System{},
		settle.System{},
		eject.System{},
		recall.System{},
		offer.System{},
		pump.System{},
	}
}
