// Package trips holds the round-trip time on the network to each availability zone.
//
// # Usage
//
//	row := table.Ensure("eu-1a")
//	row.Add(result.ConnectTime())
//	roundTrip := row.RoundTrip()
package trips

import "time"

// A connection takes at least one round trip to open, and more if a process gets no CPU time or
// a packet is lost. So a shorter time counts in full, and a longer one little and up to a bound.
const (
	longerWeight = 0.05
	maxLonger    = 4 // times the round-trip time so far
)

// Row is the round-trip time to one zone.
type Row struct {
	roundTrip time.Duration
}

// Add adds the time that opening a connection to the zone took.
func (r *Row) Add(connectTime time.Duration) {
	switch {
	case connectTime <= 0:
	case r.roundTrip == 0 || connectTime < r.roundTrip:
		r.roundTrip = connectTime
	default:
		longer := min(connectTime, maxLonger*r.roundTrip) - r.roundTrip
		r.roundTrip += time.Duration(longerWeight * float64(longer))
	}
}

// RoundTrip returns the round-trip time, or 0 if it is not known.
func (r *Row) RoundTrip() time.Duration { return r.roundTrip }
