// Package costs estimates when a server would complete an attempt, and learns the costs of
// attempts from those that ended.
//
// # Usage
//
//	if costs.Known(l, servers) { e := costs.Of(l, shard, req, server, h, now) }
//	costs.Sent(l, id, attempt, shard, req, &e, wait, h, now)
//	costs.Ended(l, id, attempt, now)
//
// It acts for services whose servers report how long work takes on them.
package costs

import (
	"math"
	"strconv"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/health"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
	"github.com/lagoontrail/lagoon/pkg/cost"
)

// A report counts half after reportHalfLife, the time of a few responses, and nothing after
// maxReportAge.
const (
	reportHalfLife = 100 * time.Millisecond
	maxReportAge   = time.Second
)

// Round-trip times until connections have shown them. Zones are up to 5 ms apart, one way.
const (
	sameZoneTrip  = 500 * time.Microsecond
	otherZoneTrip = 4 * time.Millisecond
)

// pausedPrior is the share of the time that servers pause, before anything is observed. The
// platform's servers pause for 0.12 of 3 s and for 0.2 of 4.5 s.
const pausedPrior = 0.04

// minWorkShare is the least work of an attempt, relative to its time on the server, that is
// learned. It limits the effect of an overestimated wait.
const minWorkShare = 0.2

//go:generate go run ../../../accgen -dir .

// Estimate is what is expected of one server for one attempt. Work is measured at the usual
// speed.
type Estimate struct {
	key         lagoon.CostKey // the key of the attempt's cost
	cost        lagoon.Cost    // the cost of the attempt
	slowdown    float64        // how long work takes, relative to its usual time; 0 if it is not known
	others      float64        // the number of requests of other nodes at the server
	workLeft    time.Duration  // the work left of all requests at the server
	busyShare   float64        // the probability that no slot is free
	roundTrip   time.Duration  // the round-trip time on the network
	pausedShare float64        // the probability that the server pauses
	reportAge   time.Duration  // the age of the server's last report
}

// Known reports whether the cost model is in use for a service: one of its servers has reported
// how long work takes on it.
func Known(l *loop.Loop, servers []lagoon.Replica) bool {
	if l.CostModel() == nil {
		return false
	}
	for i := range servers {
		if h, ok := l.Health().Find(servers[i].ID()); ok && h.Slowdown() > 0 {
			return true
		}
	}
	return false
}

// Of returns what is expected of a server for an attempt of a shard. relativeLatency is what
// the server's response times tell of its speed if it does not report it.
func Of(l *loop.Loop, shard *shards.Row, req *reqs.Row, r *lagoon.Replica, h *health.Row, relativeLatency float64, now time.Duration) Estimate {
	e := Estimate{key: keyOf(shard, req), reportAge: now - h.ReportedAt()}
	e.cost = l.CostModel().Cost(e.key, now)
	if e.cost.Mean() == 0 {
		return e
	}
	fresh := freshness(e.reportAge)
	e.slowdown = relativeLatency
	if h.Slowdown() > 0 {
		e.slowdown = slowdownOf(h, now)
	}
	own, likelihood := h.WorkRef().Left(h.SilentSince(), e.slowdown, now)
	e.pausedShare = pausedShare(likelihood)
	slots := float64(max(r.Slots(), 1))
	flow := l.Flows().Ensure(shard.Service())
	// Without a report, the other nodes are assumed to send what their share of the requests
	// suggests, evenly to all servers.
	perSecond := flow.Rate(now) * (max(l.View().ShareDivisor(), 1) - 1) / float64(max(len(l.View().ServersOf(shard.Service())), 1))
	usual := perSecond * flow.Mean().Seconds() * e.slowdown
	left, recent := 0.0, usual
	if fresh > 0 {
		gone := 1 - flow.Survivors(time.Duration(float64(e.reportAge)/e.slowdown))
		left, recent = fresh*h.ReportedLoad()*(1-gone), (1-fresh)*usual+fresh*usual*gone
	}
	e.others = left + recent
	running := min(e.others, slots)
	e.workLeft = own + time.Duration(running*float64(flow.Residual())+(e.others-running)*float64(flow.Mean()))
	free := int(slots) - h.Inflight()
	whole, part := math.Modf(left)
	e.busyShare = (1-part)*atLeast(free-int(whole), recent) + part*atLeast(free-int(whole)-1, recent)
	e.roundTrip = RoundTrip(l, r)
	return e
}

// slowdownOf returns the slowdown that a server reported, less by the age of the report, and
// corrected by its measured times. A report that is too high is corrected before it ages: an old
// one counts as the usual speed, which the correction would make a high one.
func slowdownOf(h *health.Row, now time.Duration) float64 {
	fresh, correction := freshness(now-h.ReportedAt()), h.BiasRef().Factor(now)
	if correction < 1 {
		return 1 + (max(h.Slowdown()*correction, minSlowdown)-1)*fresh
	}
	return (1 + (h.Slowdown()-1)*fresh) * correction
}

// minSlowdown limits the effect of a correction: no server is more than twice as fast as usual.
const minSlowdown = 0.5

// pausedShare returns the probability that a server pauses that has not responded for a time. The
// likelihood is that of the time if it does not pause.
func pausedShare(likelihood float64) float64 {
	return pausedPrior / (pausedPrior + (1-pausedPrior)*likelihood)
}

// Rest returns the expected time until the response to an attempt in flight.
func Rest(l *loop.Loop, attempt *tries.Row, now time.Duration) time.Duration {
	h, ok := l.Health().Find(attempt.Server())
	if !ok {
		return 0
	}
	slowdown := max(slowdownOf(h, now), attempt.Slowdown())
	age := time.Duration(float64(now-attempt.SentAt()-attempt.Wait()) / slowdown)
	_, likelihood := h.WorkRef().Left(h.SilentSince(), slowdown, now)
	return time.Duration(float64(cost.Remaining(attempt.Cost(), age))*slowdown + pausedShare(likelihood)*float64(pauseRest))
}

// pauseRest is the expected rest of a pause of a server. Those of the platform take 120 ms to
// 200 ms.
const pauseRest = 100 * time.Millisecond

// Expected returns the expected time until the response to the attempt, with the wait until its
// work begins.
func (e *Estimate) Expected(wait time.Duration) time.Duration {
	return wait + time.Duration(float64(e.cost.Mean())*e.slowdown+e.pausedShare*float64(pauseRest)) + e.roundTrip
}

// freshness returns how much a report of an age counts, 0 to 1.
func freshness(age time.Duration) float64 {
	if age >= maxReportAge {
		return 0
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// negligible is a probability that changes no choice.
const negligible = 1e-9

// atLeast returns the probability that a Poisson-distributed number is at least n.
func atLeast(n int, mean float64) float64 {
	term, below := math.Exp(-mean), 0.0
	for i := range max(n, 0) {
		below += term
		term *= mean / float64(i+1)
		if float64(i) > mean && term < negligible {
			break // servers may announce a million slots
		}
	}
	return max(1-below, 0)
}

func keyOf(shard *shards.Row, req *reqs.Row) lagoon.CostKey {
	request := req.Request()
	var k lagoon.CostKey
	k.SetRoute(req.Route().Name())
	k.SetService(shard.Service())
	k.SetOrganisation(req.Organisation())
	k.SetPath(request.Path())
	k.SetSize(request.BodySize())
	return k
}

// RoundTrip returns the round-trip time to a server.
func RoundTrip(l *loop.Loop, r *lagoon.Replica) time.Duration {
	if trip, ok := l.Trips().Find(r.Zone()); ok && trip.RoundTrip() > 0 {
		return trip.RoundTrip()
	}
	self := l.View().Self()
	if r.Zone() == self.Zone() {
		return sameZoneTrip
	}
	return otherZoneTrip
}

// SetView sets what is expected of a server in the input of the replica policy.
func (e *Estimate) SetView(v *lagoon.ReplicaView, timeLeft time.Duration) {
	v.SetSlowdown(e.slowdown)
	v.SetQueued(e.others)
	v.SetWorkLeft(e.workLeft)
	v.SetBusyShare(e.busyShare)
	v.SetWork(e.cost.Mean())
	v.SetRoundTrip(e.roundTrip)
	v.SetPausedShare(e.pausedShare)
	v.SetTimeLeft(timeLeft)
}

// Sent records an attempt that is being sent, with what is expected of its server and the wait
// there until the work begins.
func Sent(l *loop.Loop, id lagoon.RowID, attempt *tries.Row, shard *shards.Row, req *reqs.Row, e *Estimate, wait time.Duration, h *health.Row, now time.Duration) {
	if l.CostModel() == nil {
		return
	}
	attempt.SetCostKey(keyOf(shard, req))
	if e.slowdown == 0 {
		return
	}
	attempt.SetCost(e.cost)
	attempt.SetSlowdown(e.slowdown)
	attempt.SetWait(wait + e.roundTrip)
	attempt.SetExpected(e.Expected(wait))
	attempt.SetReportAge(e.reportAge)
	h.WorkRef().Add(id, e.cost, now+wait+e.roundTrip/2)
	flow := l.Flows().Ensure(attempt.Service())
	flow.Add(e.cost.Mean(), now)
	flow.AddRank(req.Rank(), e.cost.Mean(), now)
}

// Ended records the result of an attempt: the report of its server and what the attempt cost.
func Ended(l *loop.Loop, id lagoon.RowID, attempt *tries.Row, now time.Duration) {
	h, ok := l.Health().Find(attempt.Server())
	if !ok || l.CostModel() == nil {
		return
	}
	h.WorkRef().Remove(id)
	result := attempt.Result()
	if result.Slots() > 0 {
		h.SetSlowdown(result.Slowdown())
	}
	if h.Slowdown() == 0 {
		return
	}
	l.Trips().Ensure(attempt.Zone()).Add(result.ConnectTime())
	correction := h.BiasRef().Factor(now)
	slowdown := h.Slowdown() * correction
	if attempt.Slowdown() > 0 {
		slowdown = (slowdown + attempt.Slowdown()) / 2 // it may have changed while the attempt ran
	}
	elapsed := float64(attempt.Elapsed())
	work := time.Duration(max(elapsed-float64(attempt.Wait()), minWorkShare*elapsed) / slowdown)
	switch {
	case result.Status() == lagoon.StatusOK:
		l.CostModel().Observe(attempt.CostKey(), work, true, now)
		h.BiasRef().Add(correction*relative(attempt, work), now)
		if c := attempt.Cost(); c.Mean() > 0 {
			l.CostRatios().Observe(float64(work) / float64(c.Mean()))
		}
	case result.Status() == lagoon.StatusUnknown && attempt.RequestDone():
		l.CostModel().Observe(attempt.CostKey(), work, false, now)
		if ratio := relative(attempt, work); ratio > 1 { // less of a cancelled attempt says nothing
			h.BiasRef().Add(correction*ratio, now)
		}
	}
}

// Describe describes what was expected of an attempt, for the journal; it is empty if the cost
// model was not in use.
func Describe(attempt *tries.Row) string {
	if attempt.Slowdown() == 0 {
		return ""
	}
	c := attempt.Cost()
	return "/expected " + ms(attempt.Expected()) + ": work " + ms(c.Mean()) + ", wait " + ms(attempt.Wait()) +
		", slowdown " + strconv.FormatFloat(attempt.Slowdown(), 'f', 2, 64) + ", report " + ms(attempt.ReportAge()) + " old"
}

func ms(d time.Duration) string { return d.Round(time.Millisecond).String() }

// relative returns the work of an attempt relative to the median expected at its start, or 0 if
// nothing was expected.
func relative(attempt *tries.Row, work time.Duration) float64 {
	c := attempt.Cost()
	if attempt.Slowdown() == 0 || c.Mean() == 0 {
		return 0
	}
	return float64(work) / (float64(c.Mean()) * math.Exp(-c.Spread()*c.Spread()/2))
}
