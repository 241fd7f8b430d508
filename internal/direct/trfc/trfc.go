// Package trfc lists the traffic systems of a node that sends to servers itself,
// in the order in which the traffic loop runs them.
//
// # Usage
//
//	l.SetSystems(trfc.Systems())
package trfc

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/admit"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/blame"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/finish"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/hedge"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/leave"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/limit"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/pause"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/quota"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/reply"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/report"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/result"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/sched"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/shed"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/stops"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/versn"
)

// Systems returns a new list of the traffic systems.
func Systems() []lagoon.System[*loop.Loop] {
	return []lagoon.System[*loop.Loop]{
		leave.System{},
		pause.System{},
		limit.System{},
		versn.System{},
		report.System{},
		&blame.System{},
		result.System{},
		admit.System{},
		&shed.System{},
		quota.System{},
		stops.System{},
		hedge.System{},
		&sched.System{},
		finish.System{},
		reply.System{},
	}
}
