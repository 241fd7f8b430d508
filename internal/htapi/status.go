package htapi

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/lagoontrail/lagoon/internal/srvrs"
	"github.com/lagoontrail/lagoon/internal/world"
)

// statusForm is the JSON form of a node's state.
type statusForm struct {
	Node             string       `json:"node"`
	Zone             string       `json:"zone"`
	ConfigRevision   uint64       `json:"config_revision"`
	PlacementVersion uint64       `json:"placement_version"`
	PlacementSettled bool         `json:"placement_settled"`
	LeaseLeftMS      int64        `json:"lease_left_ms"`
	Stopping         bool         `json:"stopping"`
	Nodes            []nodeForm   `json:"nodes"`
	Servers          []serverForm `json:"servers"`
	Zones            []zoneForm   `json:"zones"`
}

type nodeForm struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	Addr           string `json:"addr"`
	HeartbeatAgeMS int64  `json:"heard_ms_ago"`
	Stopping       bool   `json:"leaving"`
	Ready          bool   `json:"ready"`
}

type serverForm struct {
	Name           string `json:"name"`
	Service        string `json:"service"`
	Zone           string `json:"zone"`
	Owner          string `json:"owner"`
	State          string `json:"state"`
	Limit          int    `json:"limit"`
	Slots          int    `json:"slots"`
	Load           int    `json:"load"`
	StartID        uint64 `json:"start_id,string"`
	SendAllowed    bool   `json:"this_node_admits"`
	NewestSnapshot string `json:"newest_snapshot"`
}

type zoneForm struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"reason"`
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	var f statusForm
	if !a.control.Do(func(ctl *world.World) { f = newStatusForm(ctl) }) {
		writeError(w, http.StatusServiceUnavailable, "the node has stopped")
		return
	}
	writeJSON(w, http.StatusOK, f)
}

func newStatusForm(w *world.World) statusForm {
	now := w.Clock().Now()
	f := statusForm{
		Node: w.Self().Name(), Zone: w.Self().Zone(), ConfigRevision: w.Config().Revision(),
		PlacementVersion: w.Placement().Version(), PlacementSettled: w.SettledAt() > 0,
		LeaseLeftMS: max(w.LeaseUntil()-now, 0).Milliseconds(), Stopping: w.StoppingSince() > 0,
		Nodes: []nodeForm{}, Servers: []serverForm{}, Zones: []zoneForm{},
	}
	for i := range w.Nodes().Len() {
		n := w.Nodes().At(i)
		f.Nodes = append(f.Nodes, nodeForm{w.Nodes().Key(i), n.Member().Zone(), n.Member().Addr(), (now - n.HeartbeatAt()).Milliseconds(), n.Stopping(), n.Ready()})
	}
	for i := range w.Servers().Len() {
		f.Servers = append(f.Servers, newServerForm(w, w.Servers().At(i)))
	}
	for i := range w.Zones().Len() {
		f.Zones = append(f.Zones, newZoneForm(w, i))
	}
	sort.Slice(f.Nodes, func(i, j int) bool { return f.Nodes[i].Name < f.Nodes[j].Name })
	sort.Slice(f.Servers, func(i, j int) bool { return f.Servers[i].Name < f.Servers[j].Name })
	return f
}

func newServerForm(w *world.World, row *srvrs.Row) serverForm {
	status := row.Status()
	f := serverForm{
		Name: row.Spec().Name(), Service: row.Service(), Zone: row.Spec().Zone(), Owner: row.Assignment().Owner(),
		State: "up", Limit: status.Limit(), Slots: row.Spec().Slots(), Load: status.Load(), StartID: status.StartID(), SendAllowed: row.SendAllowed(),
	}
	if n := len(status.Snapshots()); n > 0 {
		s := status.Snapshots()[n-1]
		f.NewestSnapshot = fmt.Sprintf("%d.%d", s.MapVersion(), s.IndexVersion())
	}
	switch {
	case zoneOut(w, row.Spec().Zone()):
		f.State = "zone_out"
	case row.Assignment().Owner() == "":
		f.State = "no_owner"
	case status.Ejected():
		f.State = "ejected"
	case status.Draining():
		f.State = "draining"
	case !status.Up():
		f.State = "down"
	}
	return f
}

func newZoneForm(w *world.World, i int) zoneForm {
	z := w.Zones().At(i)
	state := "in"
	if z.Out() {
		state = "out"
	}
	return zoneForm{w.Zones().Key(i), state, z.Reason()}
}

// findState returns the JSON form of a server or zone, or nil if it is unknown.
func findState(w *world.World, kind, name string) any {
	if kind == "server" {
		if row, ok := w.Servers().Find(name); ok {
			return newServerForm(w, row)
		}
		return nil
	}
	for i := range w.Zones().Len() {
		if w.Zones().Key(i) == name {
			return newZoneForm(w, i)
		}
	}
	return nil
}

func sortBySeq(actions []actionForm) {
	sort.Slice(actions, func(i, j int) bool { return actions[i].Seq < actions[j].Seq })
}
