package publsh

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/ingest"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// revokeMargin is the part of the time within which a removed key must be refused that is kept
// for what happens between the check of the key and the send.
const revokeMargin = 200 * time.Millisecond

// firstPushWait is how long a starting node accepts keys by a catalog that a hub pushed to it
// and whose age it does not know yet. It spans a heartbeat of the hub, and a call to the
// registry if none comes.
const firstPushWait = 1200 * time.Millisecond

// renewStep is the least time by which a later confirmation of the catalog extends its
// validity in the published view.
const renewStep = 100 * time.Millisecond

// validity says how far the catalog can be relied on.
type validity struct {
	outdated   bool          // whether a newer one is known to exist
	validUntil time.Duration // when a change that is not known yet must be in force; 0 if it does not matter
}

// currency returns the validity of the catalog. The time of its last confirmation matters only
// for keys, so it is 0 without organisations.
func currency(s *state.State, now time.Duration) validity {
	row, ok := s.Topics().Find(lagoon.TopicCatalog.String())
	catalog := s.Catalog()
	if !ok || (!catalog.Identified() && len(catalog.Organisations()) == 0) {
		return validity{}
	}
	v := validity{outdated: row.Gap()}
	switch {
	case s.RevokeTime() == 0:
	case row.UnconfirmedSince() > 0:
		v.validUntil = row.UnconfirmedSince() + firstPushWait
	default:
		v.validUntil = max(ingest.ConfirmedAt(s, row, now)+s.RevokeTime()-revokeMargin, 1)
	}
	return v
}

// renew publishes a copy of the view if only the validity of its catalog has changed.
func renew(s *state.State, v validity) {
	published := s.PublishedView().Load()
	if published == nil || !published.Identified() || (v.outdated == published.CatalogOutdated() && v.validUntil-published.CatalogValidUntil() < renewStep) {
		return
	}
	renewed := *published
	renewed.SetCatalogOutdated(v.outdated)
	renewed.SetCatalogValidUntil(v.validUntil)
	s.PublishedView().Store(&renewed)
}
