// Package ctrl lists the control systems of a node that sends requests to servers
// itself, in the order in which a tick runs them.
//
// # Usage
//
//	s.SetSystems(ctrl.Systems())
package ctrl

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/expire"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/grant"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/ingest"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/publsh"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/pull"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/push"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/rollo"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/spread"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/warn"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// Systems returns a new list of the control systems.
func Systems() []lagoon.System[*state.State] {
	return []lagoon.System[*state.State]{
		ingest.System{},
		push.System{},
		rollo.System{},
		spread.System{}, // before the heartbeats, which carry what has changed
		warn.System{},   // likewise
		beats.System{},
		grant.System{},
		pull.System{},
		expire.System{},
		publsh.System{},
	}
}
