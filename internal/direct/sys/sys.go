// Package sys lists the traffic systems of a node that sends to servers itself,
// in the order in which a flow runs them.
//
// # Usage
//
//	f.SetSystems(sys.Systems())
package sys

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/flow"
	"github.com/lagoontrail/lagoon/internal/direct/sys/admit"
	"github.com/lagoontrail/lagoon/internal/direct/sys/hedge"
	"github.com/lagoontrail/lagoon/internal/direct/sys/place"
	"github.com/lagoontrail/lagoon/internal/direct/sys/reply"
	"github.com/lagoontrail/lagoon/internal/direct/sys/settle"
	"github.com/lagoontrail/lagoon/internal/direct/sys/yield"
)

// Systems returns a fresh list of the traffic systems.
func Systems() []lagoon.System[*flow.Flow] {
	return []lagoon.System[*flow.Flow]{
		settle.System{},
		admit.System{},
		hedge.System{},
		&place.System{},
		yield.System{},
		reply.System{},
	}
}
