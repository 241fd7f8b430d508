// Package ctrl lists the control systems in execution order.
//
// # Usage
//
//	w.SetSystems(ctrl.Systems())
//
// docs/DESIGN.md lists the tables that each system reads and writes.
package ctrl

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/accept"
	"github.com/lagoontrail/lagoon/internal/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/ctrl/keeper"
	"github.com/lagoontrail/lagoon/internal/ctrl/owner"
	"github.com/lagoontrail/lagoon/internal/ctrl/place"
	"github.com/lagoontrail/lagoon/internal/ctrl/probe"
	"github.com/lagoontrail/lagoon/internal/ctrl/publsh"
	"github.com/lagoontrail/lagoon/internal/ctrl/receiv"
	"github.com/lagoontrail/lagoon/internal/ctrl/renew"
	"github.com/lagoontrail/lagoon/internal/ctrl/watchr"
	"github.com/lagoontrail/lagoon/internal/world"
)

// Systems returns new instances of the control systems for one node.
func Systems() []lagoon.System[*world.World] {
	return []lagoon.System[*world.World]{
		receiv.System{},
		&renew.System{},
		owner.System{},
		probe.System{},
		place.System{},
		watchr.System{},
		keeper.System{},
		&publsh.System{},
		beats.System{},
		accept.System{},
	}
}
