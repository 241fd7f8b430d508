// Package versn divides the attempts at a service between two versions while a roll-out is open,
// and counts the responses of each.
//
// # Usage
//
//	systems = append(systems, versn.System{})      // before the results are processed
//	first, second := versn.Sides(l, service, now)  // the servers for the next attempt
//	versn.Started(l, attempt, &replica, now)
//
// Every attempt counts, whether it is the first one, a retry, a hedge or one shard of a gathered
// request.
package versn

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/terms"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
	"github.com/lagoontrail/lagoon/internal/direct/usual"
	"github.com/lagoontrail/lagoon/pkg/dither"
)

// slowFactor is the response time, relative to the old versions' median on the route, from which
// a response counts as bad.
const slowFactor = 3

// Side is the servers of a service that an attempt may use.
type Side uint8

// The sides. Servers of the versions other than the target are old.
const (
	None Side = iota
	All
	Target
	Old
)

// Allows reports whether a server belongs to the side.
func (s Side) Allows(l *loop.Loop, r *lagoon.Replica) bool {
	switch s {
	case None:
		return false
	case All:
		return true
	}
	t := l.View().TermsOf(r.Service())
	return t == nil || (r.Version() == t.Target()) == (s == Target)
}

// Sides returns the servers for the next attempt at a service, and those to use if none of them
// can be used.
func Sides(l *loop.Loop, service string, now time.Duration) (first, second Side) {
	t := l.View().TermsOf(service)
	if t == nil {
		return All, None
	}
	target, old := mayUseTarget(l, service, t, now), t.MayUseOld(now)
	switch {
	case target && old && l.Splits().Ensure(service).CounterRef().Due(t.Share()):
		return Target, Old
	case old:
		return Old, None
	case target:
		return Target, None
	}
	return None, None
}

func mayUseTarget(l *loop.Loop, service string, t *terms.Terms, now time.Duration) bool {
	return t.MayUseTarget(now) && (t.BadLimit() == 0 || l.Tally().TargetBad(service) < t.BadLimit())
}

// Started counts an attempt that is sent to a server.
func Started(l *loop.Loop, attempt *tries.Row, r *lagoon.Replica, now time.Duration) {
	t := l.View().TermsOf(r.Service())
	if t == nil {
		return
	}
	target := r.Version() == t.Target()
	attempt.SetVersionOrder(t.Order())
	attempt.SetToTarget(target)
	attempt.SetCold(l.View().ColdUntilOf(r.ID()) > now)
	if !t.Shift() && (target || mayUseTarget(l, r.Service(), t, now)) {
		l.Splits().Ensure(r.Service()).CounterRef().Count(t.Share(), target)
	}
	l.Tally().Sent(r.Service(), target)
}

// System counts responses and begins to count for new orders.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "versn" }

// Run counts the attempts that ended in this tick.
func (System) Run(l *loop.Loop, now time.Duration) {
	if l.Tally() == nil {
		return
	}
	for _, id := range l.Completed() {
		if attempt, ok := l.Attempts().Resolve(id); ok {
			ended(l, attempt, now)
		}
	}
	if l.View() == l.SplitView() {
		return
	}
	l.SetSplitView(l.View())
	removeEnded(l)
	for service, t := range l.View().VersionTerms() {
		row := l.Splits().Ensure(service)
		if row.Order() != t.Order() {
			row.SetOrder(t.Order())
			*row.CounterRef() = dither.Start(l.RandomFloat())
			adopt(l, service, t)
		}
		l.Tally().Begin(service, t.Order(), t.Shift())
	}
}

// removeEnded removes the rows of the services whose order has ended, which hold a histogram for
// each route.
func removeEnded(l *loop.Loop) {
	for i := l.Splits().Len() - 1; i >= 0; i-- {
		if service := l.Splits().Key(i); l.View().TermsOf(service) == nil {
			l.Splits().RemoveKey(service)
			for j := l.Usual().Len() - 1; j >= 0; j-- {
				if key := l.Usual().Key(j); usual.ServiceOf(key) == service {
					l.Usual().RemoveKey(key)
				}
			}
		}
	}
}

// adopt counts the attempts in flight at the old versions when an order begins.
func adopt(l *loop.Loop, service string, t *terms.Terms) {
	l.Tally().Begin(service, t.Order(), t.Shift())
	for i := range l.Attempts().Len() {
		if attempt := l.Attempts().At(i); attempt.Service() == service && attempt.VersionOrder() == 0 {
			attempt.SetVersionOrder(t.Order())
			attempt.SetUncounted(true) // its latency belongs to the time before the order
			l.Tally().Sent(service, false)
		}
	}
}

// ended counts one attempt.
func ended(l *loop.Loop, attempt *tries.Row, now time.Duration) {
	if attempt.VersionOrder() == 0 {
		recordUsual(l, attempt, now)
		return
	}
	answered, bad := judge(l, attempt)
	// An attempt that began under an earlier order says nothing about this one.
	row, ok := l.Splits().Find(attempt.Service())
	answered = answered && !attempt.Uncounted() && ok && row.Order() == attempt.VersionOrder()
	l.Tally().Ended(attempt.Service(), attempt.Route(), attempt.ToTarget(), answered, bad)
	if !attempt.ToTarget() {
		recordUsual(l, attempt, now)
	}
}

// recordUsual adds a response of an old version to the usual response times. Services without
// a roll-out have none, so that they cost nothing.
func recordUsual(l *loop.Loop, attempt *tries.Row, now time.Duration) {
	result := attempt.Result()
	if result.Status() == lagoon.StatusOK && l.View().TermsOf(attempt.Service()) != nil {
		l.Usual().Ensure(usual.Key(attempt.Service(), attempt.Route())).LatenciesRef().Record(responseTime(attempt), now)
	}
}

// responseTime returns how long the server took, without the time to open the connection.
func responseTime(attempt *tries.Row) time.Duration {
	result := attempt.Result()
	return max(attempt.Elapsed()-result.ConnectTime(), 0)
}

// judge returns whether an attempt counts as a response, and whether it is a bad one. One that
// the node cancelled counts only if it was slow already.
func judge(l *loop.Loop, attempt *tries.Row) (answered, bad bool) {
	result := attempt.Result()
	slow := isSlow(l, attempt)
	switch result.Status() {
	case lagoon.StatusOK:
		return true, slow
	case lagoon.StatusFailed:
		return true, !result.Permanent() || slow
	case lagoon.StatusUnknown:
		return slow || !attempt.RequestDone(), true
	}
	return false, false
}

// isSlow reports whether an attempt took several times as long as usual. A cold server, which
// every new one is, takes longer for a while.
func isSlow(l *loop.Loop, attempt *tries.Row) bool {
	if attempt.Cold() {
		return false
	}
	typical := l.RouteStats().Ensure(attempt.Route()).MeanLatency()
	if row, ok := l.Usual().Find(usual.Key(attempt.Service(), attempt.Route())); ok && row.LatenciesRef().Ready() {
		typical = row.LatenciesRef().Quantile(medianPercent)
	}
	return typical > 0 && responseTime(attempt) > slowFactor*typical
}

// medianPercent is the percentile that is the usual response time.
const medianPercent = 50
