// Package fair divides a capacity among users by max-min fairness, measured by the work that
// each of them asks for.
//
// # Usage
//
//	var s fair.Shares
//	s.Add("org-1", rank, now, work, false)
//	s.Decay(now)                // from time to time
//	level := s.Level(capacity)  // no user gets more than this
//	demand, share := s.Allot("org-1", rank, false, level)
//
// Demands are moving averages in seconds of work per second. A user whose demand is below the
// level gets all that it asks for; the others get the level each, their most urgent ranks first
// and their requests that came back sooner than told last. The number of users is bounded, and
// one that asks for nothing is forgotten.
package fair

import (
	"math"
	"time"
)

const (
	averagingTime  = time.Second     // of demands; several requests of an ordinary user, and the time in which a burst must be noticed
	retention      = 5 * time.Second // after the last request of a user
	maxUsers       = 16384           // more than the organisations of the largest deployment; further ones share a row
	sweepSize      = 64              // users looked at by one Decay; at ten a second, 10,000 users take 16 s
	levelPasses    = 16              // over the users; the level of skewed demands is exact after four to six
	levelPrecision = 0.001           // the change of the level at which it is found
	firstPrecision = 0.1             // the same for the first step from the last level, whose error is of second order
	maxScale       = 1e9             // of stored demands, which keeps them far from the limits of a float64
)

// Ranks is the number of ranks that are told apart; less urgent ones count as the last.
const Ranks = 8

// otherUsers is the key of the users beyond maxUsers.
const otherUsers = "\x00others"

// Shares holds the demands of all users. The zero value has none. It is not safe for
// concurrent use.
type Shares struct {
	index     map[string]int
	users     []user
	sums      []float64 // the demand of each user, apart so that a pass over all of them is short
	level     float64   // the last level, from which the next one is found in few passes; 0 for none
	decayedAt time.Duration
	scale     float64 // of the stored demands: it grows instead of each of them decaying
	total     float64
	ranks     [Ranks]float64 // demand of all users by rank, scaled like the others
	next      int            // the user at which the next sweep begins
}

type user struct {
	key       string
	first     [Ranks]float64 // demand of each rank by requests that come for the first time
	returning float64        // demand by requests that came back sooner than told
	lastAt    time.Duration
}

// Add counts work that a user asks for in a rank; 0 is the most urgent one.
func (s *Shares) Add(key string, rank int, now, work time.Duration, returning bool) {
	if s.index == nil {
		s.index, s.scale, s.decayedAt = map[string]int{}, 1, now
	}
	rate := float64(work) / float64(averagingTime) * s.scale
	i := s.ensure(key)
	u := &s.users[i]
	u.lastAt = now
	s.total += rate
	s.sums[i] += rate
	s.ranks[clamp(rank)] += rate
	if returning {
		u.returning += rate
		return
	}
	u.first[clamp(rank)] += rate
}

func (s *Shares) ensure(key string) int {
	i, ok := s.index[key]
	if !ok && len(s.users) >= maxUsers {
		key = otherUsers
		i, ok = s.index[key]
	}
	if !ok {
		i = len(s.users)
		s.index[key] = i
		s.users = append(s.users, user{key: key})
		s.sums = append(s.sums, 0)
	}
	return i
}

// Decay lets the demands decay until now, and removes some of the users that asked for nothing
// within the retention time.
func (s *Shares) Decay(now time.Duration) {
	if len(s.users) == 0 {
		*s = Shares{}
		return
	}
	s.scale *= math.Exp(float64(now-s.decayedAt) / float64(averagingTime))
	s.decayedAt = now
	if s.scale > maxScale {
		s.rescale()
	}
	for range min(sweepSize, len(s.users)) {
		if s.next >= len(s.users) {
			s.next = 0
		}
		if now-s.users[s.next].lastAt > retention {
			s.remove(s.next)
		} else {
			s.next++
		}
	}
}

// rescale brings the scale back to 1 and adds up the total again, free of rounding errors.
func (s *Shares) rescale() {
	s.total = 0
	for i := range s.users {
		u := &s.users[i]
		for rank := range u.first {
			u.first[rank] /= s.scale
		}
		u.returning /= s.scale
		s.sums[i] = u.demand()
		s.total += s.sums[i]
	}
	for rank := range s.ranks {
		s.ranks[rank] /= s.scale
	}
	s.scale = 1
}

func (u *user) demand() float64 {
	sum := u.returning
	for _, d := range u.first {
		sum += d
	}
	return sum
}

// remove removes a user. The last one moves into its place.
func (s *Shares) remove(i int) {
	last := len(s.users) - 1
	s.total = max(0, s.total-s.sums[i])
	for rank, d := range s.users[i].first {
		s.ranks[rank] = max(0, s.ranks[rank]-d)
	}
	delete(s.index, s.users[i].key)
	if i != last {
		s.users[i], s.sums[i] = s.users[last], s.sums[last]
		s.index[s.users[i].key] = i
	}
	s.users[last] = user{}
	s.users, s.sums = s.users[:last], s.sums[:last]
}

// Len returns the number of users.
func (s *Shares) Len() int { return len(s.users) }

// Total returns the demand of all users.
func (s *Shares) Total() float64 { return s.total / max(s.scale, 1) }

// RankTotal returns the demand of all users in a rank.
func (s *Shares) RankTotal(rank int) float64 { return s.ranks[clamp(rank)] / max(s.scale, 1) }

// ReturningShare returns the part of a user's demand that requests make which came back sooner
// than told.
func (s *Shares) ReturningShare(key string) float64 {
	if u := s.find(key); u != nil && u.demand() > 0 {
		return u.returning / u.demand()
	}
	return 0
}

// Allot returns the demand of a user in a rank, or that of its returning requests, and the part
// of it that it gets if no user gets more than level.
func (s *Shares) Allot(key string, rank int, returning bool, level float64) (demand, share float64) {
	u := s.find(key)
	if u == nil {
		return 0, 0
	}
	left := level * s.scale
	for i, d := range u.first {
		if !returning && i == clamp(rank) {
			return d / s.scale, min(d, max(left, 0)) / s.scale
		}
		left -= d
	}
	return u.returning / s.scale, min(u.returning, max(left, 0)) / s.scale
}

func (s *Shares) find(key string) *user {
	i, ok := s.index[key]
	if !ok {
		i, ok = s.index[otherUsers]
	}
	if !ok {
		return nil
	}
	return &s.users[i]
}

func clamp(rank int) int { return min(max(rank, 0), Ranks-1) }

// Level returns the largest share of one user with which all together get the capacity. It is
// infinite if the capacity is enough for all.
func (s *Shares) Level(capacity float64) float64 {
	if s.Total() <= capacity {
		s.level = 0
		return math.Inf(1)
	}
	// The sum of what users get is a concave function of the level, so that each step of Newton's
	// method ends at or below the solution, and all but the first rise.
	capacity *= s.scale
	level := s.level * s.scale
	for pass := range levelPasses {
		below, above := 0.0, 0
		for _, d := range s.sums {
			if d <= level {
				below += d
			} else {
				above++
			}
		}
		if above == 0 {
			level = 0 // no user is limited by it; start again
			continue
		}
		next := max(capacity-below, 0) / float64(above)
		change := math.Abs(next - level)
		done := change <= levelPrecision*level || (pass == 0 && change <= firstPrecision*level)
		level = next
		if done {
			break
		}
	}
	s.level = level / s.scale
	return s.level
}
