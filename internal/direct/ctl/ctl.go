// Package ctl lists the control systems of a node that sends to servers itself,
// in the order of a tick.
//
// # Usage
//
//	b.SetSystems(ctl.Systems())
package ctl

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/fade"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/learn"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/pull"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/push"
	"github.com/lagoontrail/lagoon/internal/direct/ctl/show"
)

// Systems returns a fresh list of the control systems.
func Systems() []lagoon.System[*board.Board] {
	return []lagoon.System[*board.Board]{
		learn.System{},
		push.System{},
		beats.System{},
		pull.System{},
		fade.System{},
		show.System{},
	}
}
