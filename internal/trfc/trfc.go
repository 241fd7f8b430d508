// Package trfc lists the traffic systems in the order in which a lane runs
// them.
//
// # Usage
//
//	l.SetSystems(trfc.Systems())
//
// The systems up to finish run for the node that serves a query, the others for the
// node that owns a server. docs/DESIGN.md lists what each reads and writes.
package trfc

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/trfc/admit"
	"github.com/lagoontrail/lagoon/internal/trfc/cancel"
	"github.com/lagoontrail/lagoon/internal/trfc/eject"
	"github.com/lagoontrail/lagoon/internal/trfc/expire"
	"github.com/lagoontrail/lagoon/internal/trfc/finish"
	"github.com/lagoontrail/lagoon/internal/trfc/gather"
	"github.com/lagoontrail/lagoon/internal/trfc/hedger"
	"github.com/lagoontrail/lagoon/internal/trfc/launch"
	"github.com/lagoontrail/lagoon/internal/trfc/plan"
	"github.com/lagoontrail/lagoon/internal/trfc/queue"
	"github.com/lagoontrail/lagoon/internal/trfc/result"
	"github.com/lagoontrail/lagoon/internal/trfc/resume"
	"github.com/lagoontrail/lagoon/internal/trfc/send"
)

// Systems returns new instances of the traffic systems for one lane.
func Systems() []lagoon.System[*lane.Lane] {
	return []lagoon.System[*lane.Lane]{
		&gather.System{},
		expire.System{},
		admit.System{},
		resume.System{},
		&plan.System{},
		&hedger.System{},
		&send.System{},
		finish.System{},
		result.System{},
		eject.System{},
		cancel.System{},
		queue.System{},
		launch.System{},
	}
}
