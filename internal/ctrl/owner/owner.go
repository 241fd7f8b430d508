// Package owner decides to which servers this node may send requests.
//
// # Usage
//
//	systems = append(systems, owner.System{})
//
// It reads the placement and writes servers. A reassigned server is used only once
// its previous owner has reported it as released, or that owner's lease is certain
// to have expired.
package owner

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/receiv"
	"github.com/lagoontrail/lagoon/internal/ctrl/renew"
	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/world"
)

// System updates server ownership.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "owner" }

// Run updates the ownership of every server in the placement.
func (s System) Run(w *world.World, now time.Duration) {
	inForce := renew.PlacementInForce(w, now)
	for _, a := range w.Placement().Assignments() {
		if row, ok := w.Servers().Find(a.Server()); ok {
			s.updateServer(w, row, a, inForce)
		}
	}
}

func (System) updateServer(w *world.World, row *srvrs.Row, a lagoon.Assignment, inForce bool) {
	owned := a.Owner() == w.Self().Name() && a.StartID() == w.Self().StartID()
	if row.Owned() && !owned {
		row.SetReleasing(true)
		row.SetSendAllowed(false)
		w.RecordAction("server_given_up", a.Server(), "the placement names "+a.Owner()+" as the new owner")
	}
	if owned && !row.Owned() {
		row.SetReleasing(false)
		var status lagoon.ServerStatus
		status.SetServer(a.Server())
		row.SetStatus(status)
	}
	if row.Assignment().Owner() != a.Owner() || row.Assignment().StartID() != a.StartID() {
		// No node sends to the server until its new owner reports it as up.
		status := row.Status()
		status.SetUp(false)
		row.SetStatus(status)
	}
	if row.Assignment() != a || row.Owned() != owned {
		w.InvalidateView()
	}
	row.SetAssignment(a)
	row.SetOwned(owned)
	sendAllowed := owned && (inForce || released(row, a) || a.SinceVersion() < w.Placement().Version())
	if sendAllowed && !row.SendAllowed() {
		w.RecordAction("server_taken", a.Server(), activationReason(row, a, inForce))
		receiv.MarkStatusChanged(w, row)
		w.SetHeartbeatDue(true)
	}
	if sendAllowed != row.SendAllowed() {
		w.InvalidateView()
	}
	row.SetSendAllowed(sendAllowed)
}

// released reports whether the previous owner has released the server under this
// assignment.
func released(row *srvrs.Row, a lagoon.Assignment) bool {
	return a.SinceVersion() > 0 && row.ReleasedVersion() >= a.SinceVersion()
}

// activationReason returns why this node may now send to a server.
func activationReason(row *srvrs.Row, a lagoon.Assignment, inForce bool) string {
	switch {
	case released(row, a):
		return "the previous owner has released it"
	case inForce:
		return "the previous owner's lease has expired"
	}
	return "this node already owned it under the previous placement"
}
