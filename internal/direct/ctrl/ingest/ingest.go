// Package ingest applies registry updates to the control tables.
//
// # Usage
//
//	systems = append(systems, ingest.System{})
//
// The journal entries for an adopted catalog, an announced server and the zones taken
// out of service name the registry revision. An update pushed by a hub is applied only
// if it is a full one or no update before it was missed.
package ingest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/topics"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// Delays after failed registry calls. Package pull also paces its calls to an
// unreachable registry by MaxRetryDelay.
const (
	minRetryDelay = 150 * time.Millisecond // doubled after each failure
	MaxRetryDelay = 800 * time.Millisecond // a recovered registry is detected within a second
)

// batchDelay is the time between a response and the next watch of a topic that
// changes in bursts, as each call is billed. A draining server continues to serve for
// 3 s, so the delay is short enough.
const batchDelay = 350 * time.Millisecond

// hubAnswerTime is how long a node that has a hub waits for what the hub learns from a registry that
// has come back: the hub's own call and the next heartbeat.
const hubAnswerTime = 700 * time.Millisecond

// rereadInterval is the time between two reads of a whole topic whose history is gone.
const rereadInterval = time.Second

// unknownAge is the age of a topic that a hub pushed to a starting node, until a heartbeat of
// the hub or a call tells it. It exceeds every drain time.
const unknownAge = time.Hour

// System applies updates.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "ingest" }

// Run applies the results of registry calls and the updates that hubs pushed.
func (System) Run(s *state.State, now time.Duration) {
	for _, result := range s.Results() {
		row, ok := s.Topics().Find(result.Topic().String())
		if !ok {
			continue
		}
		row.SetCalling(false)
		if err := result.Err(); err != nil {
			handleFailure(s, row, err, now)
			continue
		}
		handleUpdate(s, row, result.Update(), now)
	}
	for _, m := range s.Pushes() {
		handlePush(s, m, now)
	}
	endSettling(s, now)
}

// handleFailure records a failed call and when the registry is called again.
func handleFailure(s *state.State, row *topics.Row, err error, now time.Duration) {
	if errors.Is(err, lagoon.ErrCompacted) {
		handleHistoryGone(s, row, now)
		s.Record("history_gone", row.Topic().String(), fmt.Sprintf("the changes after %s are no longer available; reading the whole topic again", epoch.Text(row.Revision())))
		return
	}
	row.SetFailures(row.Failures() + 1)
	retry := min(minRetryDelay<<min(row.Failures()-1, 4), MaxRetryDelay)
	row.SetRetryAt(now + retry)
	s.SetLastCallFailedAt(now)
	if s.CallsFailingSince() == 0 {
		s.SetCallsFailingSince(now)
	}
	if s.RegistryReachable() {
		s.SetRegistryReachable(false)
		s.SetViewStale(true)
		s.Record("registry_lost", row.Topic().String(), err.Error())
	}
}

// handleHistoryGone makes the whole topic due to be read. A hub pushes it to a node that has one,
// and a topic whose history is gone each time is not read over and over again.
func handleHistoryGone(s *state.State, row *topics.Row, now time.Duration) {
	row.SetGap(true)
	row.SetHistoryGone(true)
	switch {
	case !s.Hub() && beats.HasHub(s, now):
		row.SetRetryAt(now + hubAnswerTime)
	case row.HistoryGoneAt() > 0:
		row.SetRetryAt(max(now, row.HistoryGoneAt()+rereadInterval))
	}
	row.SetHistoryGoneAt(max(now, row.RetryAt()))
}

// handleUpdate applies a response of the registry.
func handleUpdate(s *state.State, row *topics.Row, update lagoon.RegistryUpdate, now time.Duration) {
	noteEra(s, row.Topic().String(), update.Revision(), now)
	row.SetFailures(0)
	row.SetRetryAt(0)
	since := row.ConfirmedAt()
	row.SetGap(false)
	row.SetConfirmedAt(now)
	row.SetUnconfirmedSince(0)
	s.SetCallsFailingSince(0)
	s.SetCallSucceededAt(now)
	if !s.RegistryReachable() {
		s.SetRegistryReachable(true)
		s.SetViewStale(true)
		endBackoff(s, now)
		s.Record("registry_regained", row.Topic().String(), fmt.Sprintf("the registry answers again, at %s", epoch.Text(update.Revision())))
	}
	if update.Revision() < row.Revision() {
		return // a hub has pushed a newer state in the meantime
	}
	if row.Topic() != lagoon.TopicCatalog && !Empty(update) {
		row.SetRetryAt(now + batchDelay)
	}
	lastChange := row.LastChange()
	if update.Full() || !Empty(update) {
		s.SetNewsFrom(s.Self().Name())
		apply(s, update, since, now)
		row.SetLastChange(update.Revision())
	}
	row.SetHistoryGone(row.HistoryGone() && !update.Full())
	if (update.Full() || !Empty(update)) && row.Revision() > 0 { // the first read of a topic is not forwarded, as each node starts with its own
		if lastChange > 0 {
			update.SetPrevious(lastChange) // nothing changed since, and the other nodes may not know later revisions yet
		}
		s.SetUpdates(append(s.Updates(), update))
	}
	row.SetRevision(update.Revision())
	row.SetSynced(true)
}

// endBackoff makes the calls due that wait because earlier ones failed. A node that has a hub first
// waits for its confirmations, which bring most of what the calls would.
func endBackoff(s *state.State, now time.Duration) {
	at := time.Duration(0)
	if !s.Hub() && beats.HasHub(s, now) {
		at = now + hubAnswerTime
	}
	for i := range s.Topics().Len() {
		if row := s.Topics().At(i); row.Failures() > 0 || at > 0 {
			row.SetRetryAt(at)
		}
	}
}

// handlePush applies an update pushed by a hub. If an earlier update was missed, it
// marks the topic to be read from the registry instead. A push does not confirm that no
// later change is missing: it may have been on its way for long, and the hub may have been
// cut off from the registry since. Heartbeats tell the age of the hub's own confirmation.
func handlePush(s *state.State, m *lagoon.RegistryPush, now time.Duration) {
	update := m.Update()
	row, ok := s.Topics().Find(update.Topic().String())
	if !ok {
		return
	}
	switch {
	case update.Revision() <= row.Revision() && row.Synced():
		return
	case update.Topic() == lagoon.TopicCatalog && m.LacksOrganisations():
		row.SetGap(true) // without its organisations the catalog would let every caller in
		row.SetGapRevision(max(row.GapRevision(), update.Revision()))
		return
	case !update.Full() && (!row.Synced() || update.Previous() > row.Revision()):
		row.SetGap(true)
		row.SetGapRevision(max(row.GapRevision(), update.Revision()))
		return
	}
	noteEra(s, row.Topic().String(), update.Revision(), now)
	s.SetNewsFrom(m.From())
	since := row.ConfirmedAt()
	if row.UnconfirmedSince() > 0 {
		since = 0 // a hub pushed the topic when the node started, and has not told its age yet
	}
	apply(s, update, since, now)
	if update.Full() || update.Revision() >= row.GapRevision() {
		row.SetGap(false)
	}
	row.SetHistoryGone(row.HistoryGone() && !update.Full())
	row.SetRevision(update.Revision())
	row.SetLastChange(update.Revision())
	if !row.Synced() {
		row.SetSynced(true)
		row.SetConfirmedAt(now - unknownAge)
		row.SetUnconfirmedSince(now)
	}
}

// Empty reports whether an update contains no changes.
func Empty(update lagoon.RegistryUpdate) bool {
	catalog := update.Catalog()
	return catalog.Revision() == 0 && len(update.Replicas())+len(update.Zones())+len(update.Members())+len(update.Removed())+len(update.Rollouts()) == 0
}

// apply applies an update to the tables of its topic. since is the earliest time at
// which the registry may have accepted the changes: when it last confirmed that none is
// missing. It is 0 if that is not known.
func apply(s *state.State, update lagoon.RegistryUpdate, since, now time.Duration) {
	switch update.Topic() {
	case lagoon.TopicCatalog:
		applyCatalog(s, update.Catalog())
	case lagoon.TopicReplicas:
		applyReplicas(s, update, since, now)
	case lagoon.TopicZones:
		applyZones(s, update, now)
	case lagoon.TopicMembers:
		applyMembers(s, update, now)
	case lagoon.TopicRollouts:
		applyRollouts(s, update, now)
	}
}

// supersedes reports whether a catalog replaces the current one. A registry that came back from a
// copy may have an older version at a later revision until operators write the lost one again, so
// that the version decides between eras. The same version has the same content, and only its
// revision is taken over.
func supersedes(catalog, current lagoon.Catalog) bool {
	if epoch.Of(catalog.Revision()) == epoch.Of(current.Revision()) || catalog.Version() == current.Version() {
		return catalog.Revision() > current.Revision()
	}
	return catalog.Version() > current.Version()
}

// applyCatalog replaces the catalog if the given one is newer.
func applyCatalog(s *state.State, catalog lagoon.Catalog) {
	current := s.Catalog()
	switch {
	case catalog.Revision() == 0:
		return
	case s.CatalogKnown() && !supersedes(catalog, current):
		if catalog.Version() < current.Version() {
			s.Record("catalog_older", fmt.Sprint("version ", catalog.Version()), fmt.Sprintf("%s has an older version than %d, which stays in force", epoch.Text(catalog.Revision()), current.Version()))
		}
		return
	}
	s.SetCatalog(catalog)
	s.SetCatalogKnown(true)
	s.SetViewStale(true)
	s.Record("catalog_adopted", fmt.Sprint("version ", catalog.Version()), fmt.Sprintf("%s with %d routes and %d services", epoch.Text(catalog.Revision()), len(catalog.Routes()), len(catalog.Pools())))
	if len(catalog.Warnings()) > 0 {
		s.Record("catalog_invalid", fmt.Sprint("version ", catalog.Version()), strings.Join(catalog.Warnings(), "; "))
	}
}

// applyZones applies an update of the availability zones taken out of service.
func applyZones(s *state.State, update lagoon.RegistryUpdate, now time.Duration) {
	zones := map[string]bool{}
	if !update.Full() {
		maps.Copy(zones, s.ZonesOut())
	}
	for _, zone := range update.Zones() {
		zones[zone] = true
		delete(s.ZonesKept(), zone)
	}
	for _, zone := range update.Removed() {
		delete(zones, zone)
		delete(s.ZonesKept(), zone)
	}
	if update.Full() {
		keepZones(s, zones, now)
	}
	setZonesOut(s, zones, epoch.Text(update.Revision()))
}

// setZonesOut sets the availability zones that are out of service.
func setZonesOut(s *state.State, zones map[string]bool, reason string) {
	if maps.Equal(zones, s.ZonesOut()) {
		return
	}
	s.SetZonesOut(zones)
	s.SetViewStale(true)
	names := slices.Sorted(maps.Keys(zones))
	s.Record("zones_out", strings.Join(names, ","), "the availability zones that are now taken out of service, at "+reason)
}

// applyMembers applies an update of the announced nodes.
func applyMembers(s *state.State, update lagoon.RegistryUpdate, now time.Duration) {
	for _, m := range update.Members() {
		if m.Name() == s.Self().Name() {
			continue
		}
		row := s.Peers().Ensure(m.Name())
		if m.StartID() > row.Member().StartID() {
			row.SetKnownAt(now)
		}
		if m.StartID() >= row.Member().StartID() {
			row.SetMember(m) // the announced address overrides the one from a heartbeat
		}
	}
	for _, name := range update.Removed() {
		s.Peers().RemoveKey(name)
	}
	if update.Full() && unsettled(s, now) {
		announceAgain(s, update.Members())
	}
	if update.Full() && s.MembersReadAt() == 0 {
		s.SetMembersReadAt(now)
		s.SetHeartbeatsSentAt(-time.Hour) // sends heartbeats in this tick, so that the hubs push the other topics sooner
	}
	s.SetViewStale(true)
}
