package ingest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/topics"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// noteEra records that the registry was restored from a copy if a revision is of a later era than
// those known before. The first one that a starting node gets says nothing.
func noteEra(s *state.State, source string, revision uint64, now time.Duration) {
	era, known := epoch.Of(revision), false
	for i := range s.Topics().Len() {
		known = known || s.Topics().At(i).Revision() > 0
	}
	if era <= s.Era() && known {
		return
	}
	if known {
		s.SetRestoredAt(now)
		for i := range s.Topics().Len() {
			row := s.Topics().At(i)
			row.SetProvenAt(row.ConfirmedAt())
		}
		s.Record("registry_restored", source, fmt.Sprintf("it goes on from a copy, at %s after era %d; revisions of before do not count any more", epoch.Text(revision), s.Era()))
	}
	s.SetEra(max(era, s.Era()))
}

// settleTime is how long after the registry was restored nodes do without what it lost: servers
// report again within two seconds, and operators write again what they had written.
const settleTime = 5 * time.Second

// ConfirmedAt returns when the registry last confirmed that the catalog in use is the latest. A copy
// from which it goes on confirms nothing before it has the catalog in use, for as long as operators
// may have to write it again.
func ConfirmedAt(s *state.State, row *topics.Row, now time.Duration) time.Duration {
	catalog := s.Catalog()
	if unsettled(s, now) && epoch.Of(catalog.Revision()) < s.Era() {
		return min(row.ProvenAt(), row.ConfirmedAt())
	}
	return row.ConfirmedAt()
}

// unsettled reports whether the registry was restored so lately that it may lack what was written
// before.
func unsettled(s *state.State, now time.Duration) bool {
	return s.RestoredAt() > 0 && now-s.RestoredAt() < settleTime
}

// outdated reports whether an announcement is older than what is known of the server's run, or the
// same. The revision cannot tell, as the registry gave it anew, but each run numbers its reports. In
// a copy, an announcement without a number counts as older than a departure.
func outdated(s *state.State, r lagoon.Replica, copied bool) bool {
	if row, ok := s.Servers().Find(r.ID()); ok {
		known := row.Replica()
		if r.StartedMilli() != known.StartedMilli() {
			return r.StartedMilli() < known.StartedMilli()
		}
		if r.Sequence() == 0 || known.Sequence() == 0 {
			return copied && (row.UnannouncedAt() > 0 || (known.Draining() && !r.Draining()))
		}
		return r.Sequence() < known.Sequence() || (copied && r.Sequence() == known.Sequence())
	}
	row, ok := s.Former().Find(r.ID())
	if !ok || r.StartedMilli() > row.StartedMilli() {
		return false
	}
	return r.StartedMilli() < row.StartedMilli() || r.Sequence() <= row.Sequence()
}

// keepKnown keeps what is known of a server whose announcement is outdated, at its new revision. One
// that is known to have left stays so.
func keepKnown(s *state.State, r lagoon.Replica) {
	row, ok := s.Servers().Find(r.ID())
	if !ok || row.UnannouncedAt() > 0 {
		s.Record("server_outdated", r.ID(), fmt.Sprintf("the copy from which the registry goes on has it at report %d; it has left since", r.Sequence()))
		return
	}
	known := row.Replica()
	if r.Sequence() != known.Sequence() {
		s.Record("server_outdated", r.ID(), fmt.Sprintf("the copy from which the registry goes on has its report %d, draining %t, cold for %s; its report %d counts, draining %t", r.Sequence(), r.Draining(), r.ColdDuration(), known.Sequence(), known.Draining()))
	}
	known.SetRevision(r.Revision())
	row.SetReplica(known)
}

// keepZones adds to the zones that the registry lists those that were out of service before it was
// restored, as operators may have to take them out again.
func keepZones(s *state.State, zones map[string]bool, now time.Duration) {
	if !unsettled(s, now) {
		return
	}
	kept := map[string]bool{}
	for zone := range s.ZonesOut() {
		if !zones[zone] {
			zones[zone], kept[zone] = true, true
		}
	}
	s.SetZonesKept(kept)
}

// endSettling returns zones to service that were not taken out again in time after the registry was
// restored.
func endSettling(s *state.State, now time.Duration) {
	if len(s.ZonesKept()) == 0 || unsettled(s, now) {
		return
	}
	zones := maps.Clone(s.ZonesOut())
	for zone := range s.ZonesKept() {
		delete(zones, zone)
	}
	s.SetZonesKept(nil)
	setZonesOut(s, zones, fmt.Sprintf("%s after the registry was restored without the others", settleTime))
}

// announceAgain announces this node, once in each era, if the registry has lost its announcement.
// Only nodes that started after the copy was made do so.
func announceAgain(s *state.State, members []lagoon.Member) {
	self := s.Self()
	listed := slices.ContainsFunc(members, func(m lagoon.Member) bool { return m.Name() == self.Name() && m.StartID() == self.StartID() })
	if listed || s.AnnouncedEra() == s.Era() || s.Stopping() {
		return
	}
	s.SetAnnouncedEra(s.Era())
	s.Record("announced_again", self.Name(), "the registry was restored from a copy without this node's announcement")
	announce := func(ctx context.Context) error { return s.Registry().Announce(ctx, self) } // retries until it succeeds
	s.Write(announce, func(s *state.State, err error) {
		if err != nil {
			s.Record("announcement_lost", self.Name(), err.Error())
			s.SetAnnouncedEra(0)
		}
	})
}
