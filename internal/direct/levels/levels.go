// Package levels holds how much work is admitted to a pool: the services that routes
// share directly or through each other.
//
// # Usage
//
//	row := table.Ensure("archive-desk-0")
//	level := row.LevelInForce()
//
// Rows are keyed by the first service of the pool in the order of names.
package levels

import (
	"math"
	"time"

	"github.com/lagoontrail/lagoon/pkg/fair"
)

//go:generate go run ../../accgen -dir . -rows

// minRankShare is the share of the admitted work that each rank keeps while it asks for it.
const minRankShare = 0.1

// minDemand is the demand of a rank that asks for nothing, to divide by.
const minDemand = 1e-9

// Row is the admission to one pool.
type Row struct {
	limit     float64       // the work that may be admitted, in seconds per second; 0 for no limit
	served    float64       // the moving average of the work that the servers completed
	decayedAt time.Duration // when the demands last decayed
	lateSince time.Duration // since when a route of the pool has been late; 0 if none is
	late      bool          // whether a route of the pool is late

	level    float64 // the most work of one organisation that is admitted, while there is a limit
	pressure float64 // the pressure of the route with the most
	shares   fair.Shares
	told     [fair.Ranks]time.Duration
	toldAt   [fair.Ranks]time.Duration
	admitted [fair.Ranks]float64
}

// AveragingTime is the time constant of the moving averages of admitted and completed work.
const AveragingTime = 500 * time.Millisecond

// toldWindow is the time for which a Retry-After counts.
const toldWindow = 5 * time.Second

// SetTold records in told, from toldAt on, the shortest Retry-After of
// the refusals.
func (r *Row) SetTold(rank int, retryAfter, now time.Duration) {
	rank = min(max(rank, 0), fair.Ranks-1)
	if old := r.Told(rank, now); old == 0 {
		r.told[rank], r.toldAt[rank] = retryAfter, now
	} else {
		r.told[rank] = min(old, retryAfter)
	}
}

// Told returns the shortest Retry-After that callers of a rank were told, or 0 for none.
func (r *Row) Told(rank int, now time.Duration) time.Duration {
	if rank = min(max(rank, 0), fair.Ranks-1); now-r.toldAt[rank] < toldWindow {
		return r.told[rank]
	}
	return 0
}

// Decay lets the averages decay until now.
func (r *Row) Decay(now, interval time.Duration) {
	r.decayedAt = now
	kept := math.Exp(-float64(interval) / float64(AveragingTime))
	r.served *= kept
	for i := range r.admitted {
		r.admitted[i] *= kept
	}
	r.shares.Decay(now)
}

// SharesRef returns the demands of the organisations, to be modified in place.
func (r *Row) SharesRef() *fair.Shares { return &r.shares }

// LevelInForce returns the most work of one organisation that is admitted; infinite for no
// limit.
func (r *Row) LevelInForce() float64 {
	if r.limit == 0 {
		return math.Inf(1)
	}
	return r.level
}

// CountAdmitted counts work that was admitted in a rank.
func (r *Row) CountAdmitted(rank int, work time.Duration) {
	r.admitted[min(max(rank, 0), fair.Ranks-1)] += float64(work) / float64(AveragingTime)
}

// FloorOf returns the share of the requests of a rank that are admitted even if their
// organisations have used up their shares: the rank keeps minRankShare of the admitted work. It
// is 0 while the rank gets that much.
func (r *Row) FloorOf(rank int) float64 {
	if r.limit == 0 {
		return 1
	}
	if r.admitted[min(max(rank, 0), fair.Ranks-1)] >= minRankShare*r.limit {
		return 0
	}
	return min(1, minRankShare*r.limit/max(r.shares.RankTotal(rank), minDemand))
}

// Divide divides the limit among the organisations.
func (r *Row) Divide() { r.level = r.shares.Level(r.limit) }
