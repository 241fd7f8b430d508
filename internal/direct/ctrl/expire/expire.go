// Package expire removes servers whose announcement was removed a grace period
// ago, and ends the use of servers that have been draining for one.
//
// # Usage
//
//	systems = append(systems, expire.System{})
//
// An announcement may have been lost only because the registry was down, so its
// server stays usable as a last resort for a grace period, which is longer after an
// outage. The same holds for a draining server, which may briefly be the only one
// of its service.
package expire

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/state"
)

// Periods for which a server that is draining, or whose announcement was removed, still
// gets requests that no other server can take. A draining server continues to serve
// for at least 3 s after it announced that, and the announcement may take a second or
// more to reach all nodes.
const (
	gracePeriod       = time.Second             // unless the registry was unreachable within outageWindow
	outageGracePeriod = 2100 * time.Millisecond // announcements lost in an outage return within 2 s of its end
	outageWindow      = 4 * time.Second         // after an outage, in which a missing announcement may have been lost
)

// GracePeriod returns the grace period in effect.
func GracePeriod(s *state.State, now time.Duration) time.Duration {
	if s.RegistryLostAt() > 0 && now-s.RegistryLostAt() < outageWindow {
		return outageGracePeriod
	}
	return gracePeriod
}

// System removes servers.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "expire" }

// Run removes the servers whose grace period has ended.
func (System) Run(s *state.State, now time.Duration) {
	if !s.RegistryReachable() {
		s.SetRegistryLostAt(now)
	}
	grace := GracePeriod(s, now)
	var expired []lagoon.RowID
	for i := range s.Servers().Len() {
		row := s.Servers().At(i)
		if row.UnannouncedAt() > 0 && now-row.UnannouncedAt() >= grace {
			expired = append(expired, s.Servers().ID(i))
		}
		// A view leaves out the draining servers whose grace period has ended. Either
		// period may apply, so views are published from the end of the shorter one
		// until just after the end of the longer one.
		if drainingAt := row.DrainingAt(); drainingAt > 0 && now-drainingAt >= gracePeriod && now-drainingAt < outageGracePeriod+2*state.TickInterval {
			s.SetViewStale(true)
		}
	}
	for _, id := range expired {
		s.Record("server_dropped", s.Servers().KeyOf(id), "its announcement did not return within the grace period")
		s.Servers().Remove(id)
		s.SetViewStale(true)
	}
}
