// Package score scores the replicas that can handle a request.
//
// # Usage
//
//	var p score.Policy
//	cost := p.Cost(v)   // the replica with the lowest cost is selected
//	delay := p.Delay(v) // requests that cannot be answered in time are not sent
//
// The cost of a replica is its expected response time relative to an idle replica of
// typical speed: its relative latency times the queueing delay. Replicas in other
// availability zones cost more, because network latency is higher and traffic between
// zones is billed. The cost also rises when a replica has not responded for longer
// than nearly all responses take: it may be paused or down, which silence indicates
// before any request fails. It rises most when the response is expected too late: a
// replica that is fast and loses some of its responses is better than one that is so
// slow that its response counts for nothing.
package score

import "github.com/lagoontrail/lagoon"

// Factors of the cost.
const (
	minRelativeLatency = 0.3  // limits the effect of a few fast responses
	utilizationWeight  = 0.25 // servers slow down as their slots fill
	inflightWeight     = 1.0  // per request from this node; there are few unless the server is slow or paused
	otherZoneFactor    = 1.6  // traffic between zones costs about a sixth of the value of a response
	freeSlotFactor     = 0.6  // for a sound replica in the same zone with a free slot; a second request there is better than another zone, but a queue is not
	soundFailureRate   = 0.05 // of a sound replica, at most
	coldFactor         = 1.6  // about the slowdown of a server that has just started
	failureWeight      = 12.0 // a lost response costs a hedge or a missing shard, which is several response times
	silenceThreshold   = 2.5  // in typical response times; few responses take longer
	maxSilenceFactor   = 10
	lateFactor         = 10.0 // more than the cost of a replica that loses most of its responses
	jitterWeight       = 0.1  // prevents nodes with similar views from selecting the same replica
	drainingCost       = 1000 // higher than all other costs: a last resort
)

// Policy is a lagoon.ReplicaPolicy. It has no state; the zero value is usable.
type Policy struct{}

// Cost returns the cost of sending a request to a replica.
func (Policy) Cost(v lagoon.ReplicaView) float64 {
	if v.Slowdown() > 0 {
		return timeCost(v)
	}
	slots, load := slotsAndLoad(v)
	latency := max(v.RelativeLatency(), minRelativeLatency)
	cost := latency * (queueingDelay(slots, load) + utilizationWeight*load/slots + inflightWeight*float64(v.Inflight()))
	if v.Remaining() > 0 && latency*queueingDelay(slots, load) > v.Remaining() {
		cost *= lateFactor
	}
	switch {
	case !v.SameZone():
		cost *= otherZoneFactor
	case load+1 <= slots && v.FailureRate() <= soundFailureRate:
		cost *= freeSlotFactor
	}
	if v.Cold() {
		cost *= coldFactor
	}
	cost *= 1 + failureWeight*v.FailureRate()
	if v.Silence() > silenceThreshold {
		cost *= min(v.Silence(), maxSilenceFactor)
	}
	cost *= 1 + jitterWeight*v.Jitter()
	if v.Draining() {
		cost += drainingCost
	}
	return cost
}

// Delay returns the expected response time of a replica relative to a typical
// response time, from its queue alone. Its recent response times are not used,
// because on a busy server they mostly reflect the queue of the past.
func (Policy) Delay(v lagoon.ReplicaView) float64 {
	if v.Slowdown() > 0 {
		return float64(v.Work()+wait(v)) * v.Slowdown() / float64(max(v.Work(), 1))
	}
	return queueingDelay(slotsAndLoad(v))
}

// slotsAndLoad returns the number of slots of a replica and of the requests it has.
func slotsAndLoad(v lagoon.ReplicaView) (slots, requests float64) {
	return float64(max(v.Slots(), 1)), float64(v.Inflight()) + v.Queued()
}

// queueingDelay returns the number of response times until one more request is done:
// 1, and more when the requests exceed the slots.
func queueingDelay(slots, load float64) float64 { return 1 + max(0, load+1-slots)/slots }
