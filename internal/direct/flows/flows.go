// Package flows holds how much work a node sends to each service.
//
// # Usage
//
//	row := table.Ensure("archive-desk-3")
//	row.Add(cost.Mean(), now)
//	perSecond := row.Rate(now)
package flows

import (
	"math"
	"slices"
	"time"
)

// decayTime is the time constant of the exponential decay of earlier attempts, the one within
// which the cost model forgets.
const decayTime = 5 * time.Second

// minFull is the least share of the window that counts as seen, a tenth of a second. A second
// attempt right after the first would give a rate of hundreds per second otherwise.
const minFull = 0.02

// Row is what a node sent to one service lately. The zero value is nothing.
type Row struct {
	count     float64 // of attempts, decayed
	seconds   float64 // of their work, decayed
	squares   float64 // of the seconds of work of each, decayed
	updatedAt time.Duration
	begunAt   time.Duration
	ranks     []rank
}

// rank is what was sent of one rank.
type rank struct {
	rank   int
	work   time.Duration // the least work of one of its attempts in the last urgentTime
	workAt time.Duration
	sentAt time.Duration
}

// urgentTime is the time for which an attempt shows that its rank is in use.
const urgentTime = time.Second

// AddRank records the rank of an attempt, and its expected work.
func (r *Row) AddRank(n int, work, now time.Duration) {
	i := slices.IndexFunc(r.ranks, func(other rank) bool { return other.rank == n })
	if i < 0 {
		i = len(r.ranks)
		r.ranks = append(r.ranks, rank{rank: n, work: work, workAt: now})
	}
	if work <= r.ranks[i].work || now-r.ranks[i].workAt >= urgentTime {
		r.ranks[i].work, r.ranks[i].workAt = work, now
	}
	r.ranks[i].sentAt = now
}

// MoreUrgent reports whether attempts of a more urgent rank than n, some of them with at most a
// work, were sent lately.
func (r *Row) MoreUrgent(n int, work, now time.Duration) bool {
	return slices.ContainsFunc(r.ranks, func(other rank) bool {
		return other.rank < n && other.work <= work && now-other.sentAt < urgentTime
	})
}

// Add adds an attempt with its expected work.
func (r *Row) Add(work, now time.Duration) {
	if r.count == 0 {
		r.begunAt, r.updatedAt = now, now
	}
	kept := math.Exp(-float64(now-r.updatedAt) / float64(decayTime))
	s := work.Seconds()
	r.count, r.seconds, r.squares, r.updatedAt = r.count*kept+1, r.seconds*kept+s, r.squares*kept+s*s, now
}

// Rate returns the number of attempts per second.
func (r *Row) Rate(now time.Duration) float64 {
	full := max(1-math.Exp(-float64(now-r.begunAt)/float64(decayTime)), minFull)
	if r.count == 0 || full <= 0 {
		return 0
	}
	return r.count * math.Exp(-float64(now-r.updatedAt)/float64(decayTime)) / (full * decayTime.Seconds())
}

// Mean returns the mean work of an attempt.
func (r *Row) Mean() time.Duration {
	if r.count == 0 {
		return 0
	}
	return time.Duration(r.seconds / r.count * float64(time.Second))
}

// Residual returns the mean work that is left of an attempt that a server runs at a random time.
// It is more than half of Mean, because a server spends most of its time on costly requests.
func (r *Row) Residual() time.Duration {
	if r.seconds == 0 {
		return 0
	}
	return time.Duration(r.squares / r.seconds / 2 * float64(time.Second))
}

// Survivors returns the share of the attempts that a server runs at a random time and still runs
// after age, in work. Cheap ones end within Mean, and those that are left then are costly, so it
// falls like a power of age, with the parameters that give Mean and Residual.
func (r *Row) Survivors(age time.Duration) float64 {
	mean, residual := float64(r.Mean()), float64(r.Residual())
	switch {
	case mean == 0:
		return 0
	case residual <= mean*minTail:
		return math.Exp(-float64(age) / mean)
	}
	scale := residual * mean / (residual - mean)
	return math.Pow(1+float64(age)/scale, -scale/mean)
}

// minTail is the ratio of Residual to Mean up to which the works are taken as exponentially
// distributed.
const minTail = 1.05
