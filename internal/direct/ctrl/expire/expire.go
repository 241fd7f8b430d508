// Package expire decides until when a server that is leaving may get requests, and
// removes it then.
//
// # Usage
//
//	row.SetUsableUntil(expire.LastUse(s, since, lapsed, now))
//	systems = append(systems, expire.System{})
//
// A server that is draining may briefly be the only one of its service, and an
// announcement may have been lost only because the registry was down. Both stay usable
// as a last resort for a grace period. The period ends before the server's drain time,
// which counts from the acceptance of the change by the registry. After an outage the
// change may be as old as the last confirmation that no change was missing.
package expire

import (
	"cmp"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/server"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// Periods for which a server that is leaving still gets requests that no other server
// can take.
const (
	gracePeriod       = time.Second             // from when the node learned of it; the news may take another second to reach all nodes
	lapseGracePeriod  = 2100 * time.Millisecond // for announcements lost in an outage, which return within 2 s of its end
	defaultDrainTime  = 3 * time.Second         // for which a server serves after the registry accepted that it leaves
	drainMargin       = 400 * time.Millisecond  // of the drain time, for the next tick and the way to the server
	outageWindow      = 4 * time.Second         // after an outage, in which changes may have been learned late
	lapsedServerShare = 0.25                    // of the servers; an outage affects the announcements of all servers alike, while few servers leave at a time
)

// Outage reports whether a node's registry calls failed within outageWindow: this node's, or those
// of another one.
func Outage(s *state.State, node string, now time.Duration) bool {
	failedAt := s.LastCallFailedAt()
	if node != s.Self().Name() {
		failedAt = 0
		if row, ok := s.Peers().Find(node); ok {
			failedAt = row.CallsFailedAt()
		}
	}
	return failedAt > 0 && now-failedAt < outageWindow
}

// Lapsed reports whether the announcements that are missing were probably lost in an
// outage of the registry. If the registry has turned away others, but not the node that brought the
// news, nothing was lost. Nor was anything if the node had a confirmation since the outage began:
// the nodes that the registry serves have one within the drain time. since is the time of that
// confirmation, or 0 if it is not known.
func Lapsed(s *state.State, newsFrom string, since, now time.Duration) bool {
	if since == 0 || now < lastUseBy(s, since) || !Outage(s, newsFrom, now) {
		return false
	}
	unannounced := 0
	for i := range s.Servers().Len() {
		if s.Servers().At(i).UnannouncedAt() > 0 {
			unannounced++
		}
	}
	return float64(unannounced) >= lapsedServerShare*float64(s.Servers().Len())
}

// lastUseBy returns until when a server may get requests that has left at the given time.
func lastUseBy(s *state.State, since time.Duration) time.Duration {
	return since + cmp.Or(s.DrainTime(), defaultDrainTime) - drainMargin
}

// LastUse returns until when a server may get requests whose departure the node learns
// of now. since is the earliest time at which the registry may have accepted it, or 0 if
// that is not known. lapsed is set if the announcement was probably lost in an outage.
func LastUse(s *state.State, since time.Duration, lapsed bool, now time.Duration) time.Duration {
	switch {
	case lapsed:
		return now + lapseGracePeriod
	case since == 0:
		return now
	}
	return min(now+gracePeriod, lastUseBy(s, since))
}

// Bounds on what is remembered of servers that have left.
const (
	rememberTime = time.Minute // a registry goes on from a copy that is some seconds old
	maxFormer    = 8192        // servers
)

// remember keeps the run of a server that has left, and forgets those that left long ago.
func remember(s *state.State, server *server.Row, now time.Duration) {
	for i := s.Former().Len() - 1; i >= 0; i-- {
		if now-s.Former().At(i).LeftAt() >= rememberTime {
			s.Former().Remove(s.Former().ID(i))
		}
	}
	if s.Former().Len() >= maxFormer {
		return
	}
	replica := server.Replica()
	row := s.Former().Ensure(replica.ID())
	row.SetStartedMilli(replica.StartedMilli())
	row.SetSequence(replica.Sequence())
	row.SetLeftAt(now)
}

// System removes servers.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "expire" }

// Run removes the servers whose grace period has ended.
func (System) Run(s *state.State, now time.Duration) {
	var expired []lagoon.RowID
	for i := range s.Servers().Len() {
		row := s.Servers().At(i)
		if row.UsableUntil() == 0 || now < row.UsableUntil() {
			continue
		}
		if row.UnannouncedAt() > 0 {
			expired = append(expired, s.Servers().ID(i))
		}
		if now < row.UsableUntil()+2*state.TickInterval {
			s.SetViewStale(true) // a view leaves out the draining servers whose grace period has ended
		}
	}
	for _, id := range expired {
		s.Record("server_dropped", s.Servers().KeyOf(id), "its announcement did not return within the grace period")
		if row, ok := s.Servers().Resolve(id); ok {
			remember(s, row, now)
		}
		s.Servers().Remove(id)
		s.SetViewStale(true)
	}
}
