// Package owner decides for which servers this node admits.
//
// # Usage
//
//	systems = append(systems, owner.System{})
//
// It reads the placement and writes servers. A server that was assigned anew is
// used only once the previous owner has said that it gave the server up, or
// its lease has surely ended.
package owner

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/receiv"
	"github.com/lagoontrail/lagoon/internal/ctrl/stand"
	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/world"
)

// System decides on ownership.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "owner" }

// Run brings every server up to the placement.
func (s System) Run(w *world.World, now time.Duration) {
	inForce := stand.InForce(w, now)
	for _, a := range w.Placement().Owners() {
		if row, ok := w.Servers().Find(a.Server()); ok {
			s.update(w, row, a, inForce)
		}
	}
}

func (System) update(w *world.World, row *srvrs.Row, a lagoon.Assignment, inForce bool) {
	mine := a.Owner() == w.Self().Name() && a.Start() == w.Self().Start()
	if row.Mine() && !mine {
		row.SetGiving(true)
		row.SetActing(false)
		w.Act("server_given_up", a.Server(), "the placement names "+a.Owner()+" as its owner")
	}
	if mine && !row.Mine() {
		row.SetGiving(false)
		var status lagoon.ServerStatus
		status.SetServer(a.Server())
		row.SetStatus(status)
	}
	if row.Assignment().Owner() != a.Owner() || row.Assignment().Start() != a.Start() {
		// Nobody sends to the server until its new owner says that it admits.
		status := row.Status()
		status.SetUp(false)
		row.SetStatus(status)
	}
	if row.Assignment() != a || row.Mine() != mine {
		w.Touch()
	}
	row.SetAssignment(a)
	row.SetMine(mine)
	acting := mine && (inForce || freed(row, a) || a.Since() < w.Placement().Version())
	if acting && !row.Acting() {
		w.Act("server_taken", a.Server(), why(row, a, inForce))
		receiv.Changed(w, row)
		w.SetBeatSoon(true)
	}
	if acting != row.Acting() {
		w.Touch()
	}
	row.SetActing(acting)
}

// freed reports whether the previous owner gave the server up for this
// assignment.
func freed(row *srvrs.Row, a lagoon.Assignment) bool {
	return a.Since() > 0 && row.FreedAt() >= a.Since()
}

func why(row *srvrs.Row, a lagoon.Assignment, inForce bool) string {
	switch {
	case freed(row, a):
		return "the previous owner has given it up"
	case inForce:
		return "the previous owner's lease has ended"
	}
	return "this node has owned it since before the latest placement"
}
