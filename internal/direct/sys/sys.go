// Package sys lists the traffic systems of a node that sends to servers itself,
// in the order in which the traffic loop runs them.
//
// # Usage
//
//	l.SetSystems(sys.Systems())
package sys

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/sys/admit"
	"github.com/lagoontrail/lagoon/internal/direct/sys/finish"
	"github.com/lagoontrail/lagoon/internal/direct/sys/hedge"
	"github.com/lagoontrail/lagoon/internal/direct/sys/reply"
	"github.com/lagoontrail/lagoon/internal/direct/sys/result"
	"github.com/lagoontrail/lagoon/internal/direct/sys/sched"
)

// Systems returns a new list of the traffic systems.
func Systems() []lagoon.System[*loop.Loop] {
	return []lagoon.System[*loop.Loop]{
		result.System{},
		admit.System{},
		hedge.System{},
		&sched.System{},
		finish.System{},
		reply.System{},
	}
}
