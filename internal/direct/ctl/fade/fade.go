// Package fade drops servers whose announcement has been gone for a while or
// that have been leaving for a while.
//
// # Usage
//
//	systems = append(systems, fade.System{})
//
// A server without an announcement may only have lost it while the registry was
// away, so it stays a last resort for a while, longer after an outage. A server that is leaving may
// be the only one of its service for a moment, so it stays one as well.
package fade

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/board"
)

// Times for which a server that is leaving or whose announcement is gone still
// gets requests that no other server can take. Servers serve on for 3 s at least,
// of which the news may take a second or more.
const (
	lastResort  = time.Second             // in calm times
	afterOutage = 2100 * time.Millisecond // announcements lost in an outage return within 2 s of its end
	outageShade = 4 * time.Second         // for which an outage explains that announcements are gone
)

// LastResort returns that time.
func LastResort(b *board.Board, now time.Duration) time.Duration {
	if b.LostAt() > 0 && now-b.LostAt() < outageShade {
		return afterOutage
	}
	return lastResort
}

// System drops servers.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "fade" }

// Run drops the servers whose time is over.
func (System) Run(b *board.Board, now time.Duration) {
	if !b.Reachable() {
		b.SetLostAt(now)
	}
	most := LastResort(b, now)
	var over []lagoon.RowID
	for i := range b.Servers().Len() {
		row := b.Servers().At(i)
		if row.GoneAt() > 0 && now-row.GoneAt() >= most {
			over = append(over, b.Servers().ID(i))
		}
		if left := row.LeavingAt(); left > 0 && now-left >= lastResort && now-left < afterOutage+2*board.Period {
			b.SetTouched(true)
		}
	}
	for _, id := range over {
		b.Note("server_dropped", b.Servers().KeyOf(id), "its announcement did not return")
		b.Servers().Remove(id)
		b.SetTouched(true)
	}
}
