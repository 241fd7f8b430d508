package grant

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/bucket"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/subset"
)

// Defaults of the bounds on quotas.
const (
	defaultWindow  = 5 * time.Second
	defaultOverage = 0.1
	defaultSlack   = 20.0 // requests
)

// How the bound on a window is used. All tokens granted in the window may be used in it, and
// those granted up to their validity before it. So the tokens of the validity, the initial tokens
// of new buckets, and what two granters grant while one of them does not know yet that a node
// has left it, together stay below the overage.
const (
	validShare    = 0.5                   // the validity of tokens, as a share of overage x window; 250 ms by default
	minValidity   = 50 * time.Millisecond // of tokens, if the overage leaves less; spans an answer from another zone
	maxValidity   = time.Second           // of tokens
	initialShare  = 0.4                   // the time for which a new bucket has the rate's tokens, as a share of overage x window; 200 ms by default, which makes up for tokens lost with the last granter
	minBurst      = 50 * time.Millisecond // of its rate, that a bucket holds at least; nodes ask every 30 ms
	headroomShare = 0.25                  // of the slack, that a bucket holds beyond the burst; makes up for tokens that expire unused
	reserveShare  = 0.5                   // of the slack, for all nodes together that have no share yet
)

// Times of weights.
const (
	minWeighing = 5 * time.Millisecond   // between two computations of the weight, which go over all nodes
	trimStep    = 0.02                   // the relative fall of the weight at which all buckets are limited anew
	weighTime   = state.TickInterval - 1 // between two computations if nothing has happened
)

// bounds returns the bounds with defaults for those that are not set.
func bounds(s *state.State) (window time.Duration, overage, slack float64) {
	b := s.QuotaBounds()
	window, overage, slack = b.Window(), b.Overage(), b.Slack()
	if window <= 0 {
		window = defaultWindow
	}
	if overage <= 0 {
		overage = defaultOverage
	}
	if slack <= 0 {
		slack = defaultSlack
	}
	return window, overage, slack
}

// validity returns how long tokens may be used.
func validity(s *state.State) time.Duration {
	window, overage, _ := bounds(s)
	return max(min(time.Duration(validShare*overage*float64(window)), maxValidity), minValidity)
}

// initialSeconds returns the time for whose tokens a new bucket has at once.
func initialSeconds(s *state.State) float64 {
	window, overage, _ := bounds(s)
	return min(initialShare*overage*window.Seconds(), maxValidity.Seconds())
}

// advance advances the clock of the buckets by the weight, and updates the weight.
func advance(s *state.State, now time.Duration) {
	l := s.Ledger()
	if l.ClockAt() > 0 {
		l.SetClock(l.Clock() + l.Weight()*(now-l.ClockAt()).Seconds())
	}
	l.SetClockAt(now)
	if age := now - l.WeighedAt(); age < minWeighing || (age < weighTime && !l.WeightDue()) {
		return
	}
	l.SetWeighedAt(now)
	l.SetWeightDue(false)
	weight := weigh(s, now)
	if weight == 0 && l.Weight() > 0 {
		reset(s)
	}
	if weight > l.Credited() {
		l.SetClock(l.Clock() + initialSeconds(s)*(weight-l.Credited()))
		l.SetCredited(weight)
	}
	fell := weight < l.Weight()*(1-trimStep)
	if fell || weight > l.Weight() {
		l.SetWeight(weight)
	}
	if fell {
		trim(s)
	}
}

// reset empties all buckets. The organisations of a node that has granted nothing but the reserve
// keep theirs, so that none gets the reserve twice.
func reset(s *state.State) {
	l := s.Ledger()
	if l.Share() == 0 && l.Weight() == 0 {
		return
	}
	for s.Buckets().Len() > 0 {
		s.Buckets().Remove(s.Buckets().ID(s.Buckets().Len() - 1))
	}
	l.SetOrigin(l.Clock())
	l.SetCredited(0)
	l.SetWeight(0)
}

// trim limits all buckets to the present weight. Another granter may have got the rest of it.
func trim(s *state.State) {
	l := s.Ledger()
	for i := range s.Buckets().Len() {
		row := s.Buckets().At(i)
		row.TokensRef().Refill(l.Clock(), row.Rate(), limit(s, row.Rate(), row.Burst()))
	}
	l.SetOrigin(max(l.Origin(), l.Clock()-initialSeconds(s)*l.Weight()))
}

// limit returns the number of tokens that a bucket may hold.
func limit(s *state.State, rate, burst float64) float64 {
	_, _, slack := bounds(s)
	return max(1, s.Ledger().Weight()*(max(burst, rate*minBurst.Seconds())+headroomShare*slack))
}

// serve takes the wanted tokens from the buckets.
func serve(s *state.State, m *lagoon.QuotaRequest) *lagoon.QuotaGrant {
	out := newGrant(s, m)
	for _, want := range m.Wants() {
		out.SetShares(append(out.Shares(), serveOne(s, want)))
	}
	return out
}

func newGrant(s *state.State, m *lagoon.QuotaRequest) *lagoon.QuotaGrant {
	out := &lagoon.QuotaGrant{}
	out.SetFrom(s.Self().Name())
	out.SetSent(m.Sent())
	out.SetValidFor(validity(s))
	return out
}

func serveOne(s *state.State, want lagoon.QuotaWant) lagoon.QuotaShare {
	l := s.Ledger()
	var share lagoon.QuotaShare
	share.SetOrganisation(want.Organisation())
	rate, burst := quotaOf(s, want)
	if rate <= 0 {
		return share // only an unlimited organisation has no rate, and nobody asks for it
	}
	row := ensure(s, want.Organisation())
	row.SetRate(rate)
	row.SetBurst(burst)
	row.TokensRef().Refill(l.Clock(), rate, max(limit(s, rate, burst), reserve(s)))
	share.SetTokens(row.TokensRef().Take(want.Tokens()))
	if missing := float64(want.Tokens()-share.Tokens()) - row.TokensRef().Tokens(); missing > 0 {
		share.SetRetryAfter(retryAfter(s, missing, rate))
	}
	return share
}

// retryAfter returns the time in which a bucket gets the missing tokens.
func retryAfter(s *state.State, missing, rate float64) time.Duration {
	window, _, _ := bounds(s)
	seconds := missing / max(rate*s.Ledger().Weight(), 1/window.Seconds())
	return time.Duration(min(seconds, window.Seconds()) * float64(time.Second))
}

// quotaOf returns the quota of an organisation: the lower of what this node and the one that asks
// know, as either may have an old catalog.
func quotaOf(s *state.State, want lagoon.QuotaWant) (rate, burst float64) {
	rate, burst = want.RatePerSecond(), want.Burst()
	own := s.PublishedView().Load().Organisations().Named(want.Organisation())
	if own == nil || own.RatePerSecond() <= 0 {
		return rate, burst
	}
	if rate <= 0 {
		return own.RatePerSecond(), own.Burst()
	}
	return min(rate, own.RatePerSecond()), min(burst, own.Burst())
}

// ensure returns the bucket of an organisation. A new one has the tokens of the time since this
// node became a granter, or the reserve if it has no share of the traffic yet.
func ensure(s *state.State, organisation string) *bucket.Row {
	if row, ok := s.Buckets().Find(organisation); ok {
		return row
	}
	row := s.Buckets().Ensure(organisation)
	row.TokensRef().Skip(s.Ledger().Origin())
	row.TokensRef().Add(reserve(s))
	return row
}

// reserve returns the tokens of an organisation at a node that has no granter and does not know
// its share of the traffic yet. Callers use only the nodes that they are referred to, so that the
// reserve is divided by their number.
func reserve(s *state.State) float64 {
	l := s.Ledger()
	if l.Share() > 0 || s.Hub() || l.Granter() != s.Self().Name() {
		return 0
	}
	_, _, slack := bounds(s)
	nodes, largest := 1.0, largestNode(s)
	for i := range s.Peers().Len() {
		if subset.Large(s.Peers().At(i).Member().Cores(), largest) {
			nodes++
		}
	}
	return reserveShare * slack / nodes
}
