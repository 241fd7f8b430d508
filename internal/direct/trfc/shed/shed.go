// Package shed refuses requests for which the servers have no room, right after they were
// admitted and before any attempt is sent.
//
// # Usage
//
//	systems = append(systems, &shed.System{})   // between admit and sched
//
// It acts only on requests of an organisation and on routes whose servers report their speed,
// and only if there is an admission policy. Services that routes share form a pool, whose
// admitted work follows what the servers report. Other requests pass unchanged.
package shed

import (
	"fmt"
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/demand"
	"github.com/lagoontrail/lagoon/internal/direct/levels"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/admit"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// updateInterval is the time between two decisions on the admitted work. Reports are a tenth
// of a second old.
const updateInterval = 50 * time.Millisecond

// speedRetention is the time after a report with a speed for which a route counts as one whose
// servers report it. A route with little traffic gets several in it.
const speedRetention = 10 * time.Second

// returnDivisor is the part of the objective after which a request counts as one that comes
// back, as in package admit.
const returnDivisor = 3

// impatientShare is the part of the work of an organisation's requests above which those that
// came back too soon make all its returning requests count as such.
const impatientShare = 0.2

// System refuses requests. The zero value is ready to use.
type System struct {
	updatedAt time.Duration
}

// Name returns the system's name.
func (*System) Name() string { return "shed" }

// Run decides on the requests that were admitted in this tick.
func (s *System) Run(l *loop.Loop, now time.Duration) {
	if l.AdmissionPolicy() == nil {
		return
	}
	if interval := now - s.updatedAt; interval >= updateInterval && l.Levels().Len() > 0 {
		s.updatedAt = now
		update(l, now, interval)
	}
	for _, id := range l.Arrived() {
		consider(l, id, now)
	}
	for _, id := range l.DueRows(timers.Recheck) {
		consider(l, id, now)
	}
}

// consider decides on one request.
func consider(l *loop.Loop, id lagoon.RowID, now time.Duration) {
	req, ok := l.Requests().Resolve(id)
	if !ok || req.Decided() || req.Route() == nil || req.Governed() {
		return
	}
	route := l.Demand().Ensure(req.Route().Name())
	reportsSpeed := route.SpeedAt() > 0 && now-route.SpeedAt() < speedRetention
	if req.Organisation() == "" && !reportsSpeed {
		return
	}
	req.SetGoverned(true)
	if route.Route() != req.Route() {
		setPools(l, req.View())
		route = l.Demand().Ensure(req.Route().Name())
	}
	if route.Work() == 0 {
		return // nothing is known of its servers
	}
	level := l.Levels().Ensure(route.Pool())
	work := route.Work() * time.Duration(len(req.Shards()))
	req.SetReturning(returnsTooSoon(level, req, now))
	level.SharesRef().Add(req.Organisation(), req.Rank(), now, work, req.Returning())
	view := requestView(l, level, route, req, now)
	admitted, retryAfter := l.AdmissionPolicy().Admit(view)
	if admitted {
		level.CountAdmitted(req.Rank(), work)
		return
	}
	level.SetTold(req.Rank(), retryAfter, now)
	refuse(l, id, level, req, view, retryAfter, now)
}

// returnsTooSoon reports whether a request comes back sooner than callers of its rank were
// told.
func returnsTooSoon(level *levels.Row, req *reqs.Row, now time.Duration) bool {
	elapsed := now - req.CallerStart()
	told := level.Told(req.Rank(), now)
	if level.Limit() == 0 || told == 0 || elapsed < req.Route().Objective()/returnDivisor {
		return false
	}
	return elapsed < told || level.SharesRef().ReturningShare(req.Organisation()) > impatientShare
}

func requestView(l *loop.Loop, level *levels.Row, route *demand.Row, req *reqs.Row, now time.Duration) lagoon.AdmissionView {
	var v lagoon.AdmissionView
	demand, share := level.SharesRef().Allot(req.Organisation(), req.Rank(), req.Returning(), level.LevelInForce())
	v.SetRank(req.Rank())
	v.SetReturning(req.Returning())
	v.SetDemand(demand)
	v.SetFairShare(share)
	v.SetRankFloor(level.FloorOf(req.Rank()))
	if level.Limit() > 0 {
		v.SetExcess(level.SharesRef().Total() / level.Limit())
	}
	v.SetExpectedTime(route.ExpectedTime())
	v.SetTimeLeft(req.Deadline() - now)
	if level.Limit() > 0 || route.ExpectedTime() > 0 {
		v.SetJitter(l.RandomFloat())
		v.SetSpread(l.RandomFloat())
	}
	return v
}

func refuse(l *loop.Loop, id lagoon.RowID, level *levels.Row, req *reqs.Row, v lagoon.AdmissionView, retryAfter, now time.Duration) {
	var r lagoon.Response
	r.SetOutcome(lagoon.RequestRefused)
	r.SetRetryAfter(retryAfter)
	request := req.Request()
	organisation := req.Organisation()
	if v.ExpectedTime() > v.TimeLeft() {
		r.SetReason(fmt.Sprintf("cannot finish in time: the servers are expected to take %s, %s are left", v.ExpectedTime().Round(time.Millisecond), v.TimeLeft().Round(time.Millisecond)))
		l.Record("admission_too_late", req.Route().Name(), request.ID(), fmt.Sprintf("%s; organisation %q, rank %d, reports at most %s old", r.Reason(), organisation, req.Rank(), maxReportAge+updateInterval))
	} else {
		r.SetReason("no room for this rank")
		l.Record("admission_no_room", req.Route().Name(), request.ID(), fmt.Sprintf("organisation %q, rank %d, came back too soon %t: it asks for %.3f s of work per second by such requests, its share is %.3f; admitted are %.3f of %.3f; the load was assessed %s ago", organisation, req.Rank(), v.Returning(), v.Demand(), v.FairShare(), level.Limit(), level.SharesRef().Total(), (now-level.DecayedAt()).Round(time.Millisecond)))
	}
	admit.WithdrawBudget(l, req)
	req.SetResponse(r)
	req.SetDecided(true)
	l.MarkDecided(id)
}

// update lets the demands decay and sets the admitted work of each pool.
func update(l *loop.Loop, now, interval time.Duration) {
	for i := range l.Levels().Len() {
		l.Levels().At(i).SetLate(false)
		l.Levels().At(i).SetPressure(0)
	}
	for i := range l.Demand().Len() {
		route := l.Demand().At(i)
		if route.Route() == nil {
			continue
		}
		assess(l, route, now)
		if level, ok := l.Levels().Find(route.Pool()); ok {
			level.SetLate(level.Late() || route.Late())
			level.SetPressure(max(level.Pressure(), route.Pressure()))
		}
	}
	for i := range l.Levels().Len() {
		updateLevel(l, l.Levels().Key(i), l.Levels().At(i), now, interval)
	}
}

func updateLevel(l *loop.Loop, pool string, level *levels.Row, now, interval time.Duration) {
	level.Decay(now, interval)
	switch {
	case !level.Late():
		level.SetLateSince(0)
	case level.LateSince() == 0 || interval > maxReportAge:
		level.SetLateSince(now)
	}
	var v lagoon.CapacityView
	v.SetLimit(math.Inf(1))
	if level.Limit() > 0 {
		v.SetLimit(level.Limit())
	}
	v.SetOffered(level.SharesRef().Total())
	v.SetServed(level.Served())
	if level.LateSince() > 0 {
		v.SetLateFor(now - level.LateSince() + time.Nanosecond)
	}
	v.SetPressure(level.Pressure())
	v.SetInterval(interval)
	limit := l.AdmissionPolicy().Limit(v)
	if math.IsInf(limit, 1) {
		if level.Limit() > 0 {
			l.Record("admission_released", pool, "", fmt.Sprintf("all requests are admitted: the limit of %.3f s of work per second exceeds the %.3f that callers ask for", level.Limit(), v.Offered()))
		}
		level.SetLimit(0)
		return
	}
	if level.Limit() == 0 {
		l.Record("admission_limited", pool, "", fmt.Sprintf("the servers of a route have been late for %s: %.3f s of work per second are admitted of %.3f", v.LateFor().Round(time.Millisecond), limit, v.Offered()))
	}
	level.SetLimit(limit)
	level.Divide()
}
