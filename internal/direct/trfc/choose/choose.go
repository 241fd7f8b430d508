// Package choose chooses the server for an attempt of a shard.
//
// # Usage
//
//	choice := choose.Best(l, shard, req, now)
//	if choice.Found() { use(choice.Replica()) }
//	delay, known := choose.Delay(l, shard, req, &replica, now)
//
// A server is chosen by its rank for the shard's request and then by the cost that the
// replica policy gives it. The package also divides the limits that all nodes share: a
// server's connections, and the rate of requests to a cold server.
package choose

import (
	"math"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/health"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/blame"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/costs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/leave"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/limit"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/pause"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/slots"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/versn"
)

// Time constants of the exponential decay of observations.
const (
	latencyDecay = 5 * time.Second        // for latency and failures, so that a server that was slow is tried again
	loadDecay    = 100 * time.Millisecond // for a server's reported load: the time of a few responses
)

// connShare is the share of a server's connections that the known nodes use. The
// rest is for nodes that are not known yet.
const connShare = 0.85

// The ranks of a server for an attempt, best first.
const (
	rankUsable    = iota // it has not been tried yet, or it lost the response
	rankRefused          // it refused this request
	rankBackedOff        // it is in backoff after failures
	rankPaused           // it asked for a pause or has used up its limit, and could be used otherwise
	rankExcluded         // it must not be used
)

//go:generate go run ../../../accgen -dir .

// Choice is the result of choosing a server. A server is full if it is not in backoff and
// this node has reached its share of the server's connections or rate limit while cold, or
// its limit after a pause, or if its last free slot is kept for more urgent requests.
type Choice struct {
	replica   lagoon.Replica // the server, if one was found
	found     bool           // whether a server was found
	full      bool           // whether a server cannot be used only because it is full
	returnsAt time.Duration  // when the first server can be used of those that cannot only because they pause or have used up their limits; 0 for none
	perSecond float64        // the requests per second that the limits of these servers allow this node; 0 if none has a limit
	estimate  costs.Estimate // what is expected of the server, if the cost model is in use for the service
	wait      time.Duration  // how long the server is expected to take until it begins the work, by the estimate
}

// Best chooses the best usable server. In a roll-out it is one of the version that is next.
func Best(l *loop.Loop, shard *shards.Row, req *reqs.Row, now time.Duration) Choice {
	first, second := versn.Sides(l, shard.Service(), now)
	c := bestOf(l, shard, req, first, now)
	if !c.found && second != versn.None {
		c = bestOf(l, shard, req, second, now)
	}
	return c
}

// bestOf chooses the best usable server of one side of a roll-out.
func bestOf(l *loop.Loop, shard *shards.Row, req *reqs.Row, side versn.Side, now time.Duration) Choice {
	view := l.View()
	servers := view.ServersOf(shard.Service())
	self := view.Self()
	var c Choice
	modeled := costs.Known(l, servers)
	suspect := blame.Verdict(l, req, shard.Service(), now) != lagoon.VerdictNone
	lowestCost, bestRank := math.Inf(1), rankPaused
	for i := range servers {
		r := &servers[i]
		if side != versn.All && !side.Allows(l, r) {
			continue
		}
		h := HealthOf(l, r)
		rank := rankOf(l, shard, req, r, h, now)
		if rank == rankPaused {
			c.noteReturn(l, r, now)
		}
		if rank >= rankPaused || rank > bestRank {
			continue
		}
		if suspect && h.Suspects() > 0 { // its end would tell nothing of either
			c.full = c.full || rank < rankBackedOff
			continue
		}
		if h.Inflight() >= min(maxInflight(l, shard.Service()), pause.Limit(l, r, now)) || !coldAllowed(l, r, h, now) {
			c.full = c.full || rank < rankBackedOff
			continue
		}
		v := replicaView(l, req, r, h, self.Zone(), now)
		var e costs.Estimate
		if modeled {
			e = estimate(l, shard, req, r, h, &v, now)
			if slots.Reserved(l, shard, req, r, h, &e, now) {
				c.full = c.full || rank < rankBackedOff
				continue
			}
		}
		cost := l.ReplicaPolicy().Cost(v)
		if rank < bestRank || cost < lowestCost {
			lowestCost, bestRank, c.replica, c.found = cost, rank, *r, true
			c.estimate, c.wait = e, waitOf(l, v)
		}
	}
	// It is better to wait for a server without capacity than to use one in backoff.
	if c.full && bestRank == rankBackedOff {
		c.replica, c.found = lagoon.Replica{}, false
	}
	return c
}

// noteReturn records when a server that pauses or has used up its limit can be used.
func (c *Choice) noteReturn(l *loop.Loop, r *lagoon.Replica, now time.Duration) {
	paused, _ := pause.Until(l, r, now)
	at, held := limit.Until(l, r, max(now, paused))
	if at = max(at, paused); c.returnsAt == 0 || at < c.returnsAt {
		c.returnsAt = at
	}
	if held {
		c.perSecond += 1 / limit.Interval(l, r).Seconds()
	}
}

// ReturnsAfter returns when the servers that cannot be used only because they pause or have used
// up their limits can take an attempt before which a number of others wait for them, or 0 if
// there are no such servers.
func (c *Choice) ReturnsAfter(ahead int) time.Duration {
	if c.returnsAt == 0 || c.perSecond == 0 {
		return c.returnsAt
	}
	return c.returnsAt + time.Duration(float64(ahead)/c.perSecond*float64(time.Second))
}

// estimate returns what the cost model expects of a server, and sets it in the input of the
// replica policy if the cost is known.
func estimate(l *loop.Loop, shard *shards.Row, req *reqs.Row, r *lagoon.Replica, h *health.Row, v *lagoon.ReplicaView, now time.Duration) costs.Estimate {
	e := costs.Of(l, shard, req, r, h, v.RelativeLatency(), now)
	if e.Slowdown() > 0 {
		timeLeft := req.CallerStart() + req.Route().Objective() - now
		if timeLeft <= 0 {
			timeLeft = req.Deadline() - now // a late response is still better than none
		}
		e.SetView(v, max(timeLeft, 0))
	}
	return e
}

// waitOf returns how long a server is expected to take until it begins the work of an attempt,
// or 0 if the cost model is not in use.
func waitOf(l *loop.Loop, v lagoon.ReplicaView) time.Duration {
	if v.Slowdown() == 0 {
		return 0
	}
	return time.Duration((l.ReplicaPolicy().Delay(v) - v.Slowdown()) * float64(v.Work()))
}

// rankOf returns a server's rank for an attempt. The route limits the number of
// servers per shard; a server that refused the request or lost its response may be
// retried. When no other server is left, one in backoff gets one attempt at a time,
// as it may still respond, unless the node failed to connect to it.
func rankOf(l *loop.Loop, shard *shards.Row, req *reqs.Row, r *lagoon.Replica, h *health.Row, now time.Duration) int {
	refused := slices.Contains(shard.RefusedBy(), r.ID())
	tried := refused || slices.Contains(shard.LostBy(), r.ID())
	_, paused := pause.Until(l, r, now)
	_, held := limit.Until(l, r, now)
	switch {
	case hasLeft(l, r, now),
		slices.Contains(shard.Excluded(), r.ID()),
		h.AddressReusedStart() != 0 && h.AddressReusedStart() == r.StartedMilli(),
		!tried && shard.TriedServers() > 0 && shard.TriedServers() >= req.Route().MaxAttempts():
		return rankExcluded
	case paused || held:
		return rankPaused
	case h.BackoffUntil() <= now && refused:
		return rankRefused
	case h.BackoffUntil() <= now:
		return rankUsable
	case h.ConnectFailed() || h.Inflight() > 0:
		return rankExcluded
	}
	return rankBackedOff
}

// hasLeft reports whether a server may not even be used as a last resort any more, according
// to the registry or to its own word.
func hasLeft(l *loop.Loop, r *lagoon.Replica, now time.Duration) bool {
	if until := l.View().UsableUntilOf(r.ID()); until > 0 && now >= until {
		return true
	}
	_, usable := leave.State(l, r, now)
	return !usable
}

// HealthOf returns the health of a server and resets it when the server has
// restarted.
func HealthOf(l *loop.Loop, r *lagoon.Replica) *health.Row {
	h := l.Health().Ensure(r.ID())
	if h.StartedMilli() != r.StartedMilli() {
		inflight, work := h.Inflight(), *h.WorkRef()
		*h = health.Row{}
		*h.WorkRef() = work
		h.SetStartedMilli(r.StartedMilli())
		h.SetInflight(inflight)
	}
	return h
}

// maxInflight returns the number of attempts that this node may have in flight at
// one server: its share of the server's connections, at least 1.
func maxInflight(l *loop.Loop, service string) int {
	return max(1, int(min(ConnectionShare(l, service), math.MaxInt32)))
}

// ConnectionShare returns this node's share of each server's connections. It is
// below 1 when there are more nodes than connections.
func ConnectionShare(l *loop.Loop, service string) float64 {
	pool := l.View().Pool(service)
	if pool.MaxConns() == 0 {
		return math.Inf(1)
	}
	return connShare * float64(pool.MaxConns()) / max(l.View().ShareDivisor(), 1)
}

// coldAllowed reports whether the rate limit of a cold server allows an attempt
// by this node. It is true for servers that are not cold.
func coldAllowed(l *loop.Loop, r *lagoon.Replica, h *health.Row, now time.Duration) bool {
	pool := l.View().Pool(r.Service())
	return pool.ColdPerSecond() == 0 || l.View().ColdUntilOf(r.ID()) <= now || h.NextColdAttempt() <= now
}

// CountColdAttempt counts an attempt against this node's share of a cold server's
// rate limit.
func CountColdAttempt(l *loop.Loop, r *lagoon.Replica, h *health.Row, now time.Duration) {
	pool := l.View().Pool(r.Service())
	if pool.ColdPerSecond() == 0 || l.View().ColdUntilOf(r.ID()) <= now {
		return
	}
	divisor := max(l.View().ShareDivisor(), l.View().ColdDivisor(), 1)
	interval := time.Duration(float64(time.Second) * divisor / pool.ColdPerSecond())
	h.SetNextColdAttempt(max(now, h.NextColdAttempt()) + interval)
}

func replicaView(l *loop.Loop, req *reqs.Row, r *lagoon.Replica, h *health.Row, zone string, now time.Duration) lagoon.ReplicaView {
	var v lagoon.ReplicaView
	v.SetSlots(r.Slots())
	v.SetInflight(h.Inflight())
	v.SetQueued(h.ReportedLoad() * decay(now-h.ReportedAt(), loadDecay))
	v.SetRelativeLatency(1 + h.ExcessLatency()*decay(now-h.SampledAt(), latencyDecay))
	v.SetSameZone(r.Zone() == zone)
	v.SetCold(l.View().ColdUntilOf(r.ID()) > now)
	leaving, _ := leave.State(l, r, now)
	v.SetDraining(r.Draining() || leaving)
	v.SetFailureRate(h.FailureRate() * decay(now-h.SampledAt(), latencyDecay))
	if mean := float64(l.RouteStats().Ensure(req.Route().Name()).MeanLatency()); mean > 0 {
		v.SetRemaining(float64(max(req.CallerStart()+req.Route().Objective()-now, 0)) / mean)
		if h.Inflight() > 0 {
			v.SetSilence(float64(now-h.SilentSince()) / mean)
		}
	}
	v.SetJitter(l.RandomFloat())
	return v
}

func decay(age, constant time.Duration) float64 { return math.Exp(-float64(age) / float64(constant)) }

// Delay returns the time in which a server is expected to respond, from the requests that
// it has. known is false if the server has not reported its load recently.
func Delay(l *loop.Loop, shard *shards.Row, req *reqs.Row, r *lagoon.Replica, now time.Duration) (delay time.Duration, known bool) {
	h := HealthOf(l, r)
	if now-h.ReportedAt() > loadDecay {
		return 0, false
	}
	self := l.View().Self()
	mean := l.RouteStats().Ensure(req.Route().Name()).MeanLatency()
	v := replicaView(l, req, r, h, self.Zone(), now)
	if costs.Known(l, l.View().ServersOf(shard.Service())) {
		if e := estimate(l, shard, req, r, h, &v, now); e.Slowdown() > 0 {
			mean = v.Work()
		}
	}
	return time.Duration(l.ReplicaPolicy().Delay(v) * float64(mean)), true
}
