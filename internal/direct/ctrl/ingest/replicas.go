package ingest

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/expire"
	"github.com/lagoontrail/lagoon/internal/direct/server"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// applyReplicas applies an update of the announced servers.
func applyReplicas(s *state.State, update lagoon.RegistryUpdate, since, now time.Duration) {
	announced := map[string]bool{}
	copied := update.Full() && unsettled(s, now)
	for _, r := range update.Replicas() {
		announced[r.ID()] = true
		if unsettled(s, now) && outdated(s, r, copied) {
			keepKnown(s, r)
			continue
		}
		applyReplica(s, r, since, now)
	}
	var withdrawn []string
	if update.Full() {
		for i := range s.Servers().Len() {
			if id := s.Servers().Key(i); !announced[id] {
				withdrawn = append(withdrawn, id)
			}
		}
		s.SetServersKnown(true)
		s.SetViewStale(true)
	}
	withdrawn = append(withdrawn, update.Removed()...)
	markUnannounced(s, withdrawn, copied, since, now)
}

// applyReplica applies one announcement.
func applyReplica(s *state.State, replica lagoon.Replica, since, now time.Duration) {
	row := s.Servers().Ensure(replica.ID())
	old := row.Replica()
	if replica.Revision() < old.Revision() {
		return
	}
	row.SetReplica(replica)
	row.SetAnnouncedAt(now)
	returned := row.UnannouncedAt() > 0
	row.SetUnannouncedAt(0)
	restarted := old.ID() != "" && old.StartedMilli() != replica.StartedMilli()
	switch {
	case !replica.Draining():
		row.SetDrainingAt(0)
		row.SetUsableUntil(0)
	case old.ID() == "" || restarted:
		// The run may have begun to drain long ago, and its announcement may have lapsed since.
		row.SetDrainingAt(now)
		row.SetUsableUntil(now)
	case row.DrainingAt() == 0:
		lastUse := expire.LastUse(s, since, false, now)
		if returned {
			lastUse = min(lastUse, row.UsableUntil()) // it began to leave when its announcement was gone
		}
		row.SetDrainingAt(now)
		row.SetUsableUntil(lastUse)
	}
	s.SetViewStale(true)
	if returned || old.ID() == "" || old.Draining() != replica.Draining() || restarted || (old.ColdDuration() == 0) != (replica.ColdDuration() == 0) {
		s.Record("server_announced", replica.ID(), fmt.Sprintf("%s at %s in %s, draining %t, cold for %s, %s", replica.Service(), replica.Addr(), replica.Zone(), replica.Draining(), replica.ColdDuration(), epoch.Text(replica.Revision())))
	}
}

// markUnannounced marks the servers whose announcements were removed. copied is set if they are
// missing in the copy from which the registry goes on, and return soon.
func markUnannounced(s *state.State, ids []string, copied bool, since, now time.Duration) {
	var marked []*server.Row
	for _, id := range ids {
		row, ok := s.Servers().Find(id)
		if !ok || row.UnannouncedAt() > 0 {
			continue
		}
		row.SetUnannouncedAt(now)
		marked = append(marked, row)
	}
	if len(marked) == 0 {
		return
	}
	s.SetViewStale(true)
	lapsed := copied || expire.Lapsed(s, s.NewsFrom(), since, now)
	lastUse := expire.LastUse(s, since, lapsed, now)
	for _, row := range marked {
		if row.DrainingAt() == 0 {
			row.SetUsableUntil(lastUse)
		}
		replica := row.Replica()
		s.Record("server_unannounced", replica.ID(), fmt.Sprintf("its announcement is gone; the server is used only as a last resort, for %s or until the announcement returns; probably lost in an outage of the registry: %t", max(row.UsableUntil()-now, 0), lapsed))
	}
}
