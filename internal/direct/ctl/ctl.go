// Package ctl lists the control systems of a node that sends requests to servers
// itself, in the order in which a tick runs them.
//
// # Usage
//
//	s.SetSystems(ctl.Systems())
package ctl

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/expire"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/ingest"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/publsh"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/pull"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/push"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// Systems returns a new list of the control systems.
func Systems() []lagoon.System[*state.State] {
	return []lagoon.System[*state.State]{
		ingest.System{},
		push.System{},
		beats.System{},
		pull.System{},
		expire.System{},
		publsh.System{},
	}
}
