package score

import (
	"time"

	"github.com/lagoontrail/lagoon"
)

// pauseTime is the expected rest of a pause of a server. Those of the platform take 120 ms to
// 200 ms.
const pauseTime = 100 * time.Millisecond

// otherZoneMargin is how many times shorter the expected time at another zone must be than in the
// node's own: traffic between zones is billed, and the estimate is uncertain.
const otherZoneMargin = 1.5

// timeCost returns the cost of a replica whose speed is known, in seconds: the expected time
// until its response, which is longer while the replica pauses, with the same factors for
// risks as those of a replica without a known speed.
func timeCost(v lagoon.ReplicaView) float64 {
	expected := float64(wait(v)+v.Work())*v.Slowdown() + v.PausedShare()*float64(pauseTime) + float64(v.RoundTrip())
	cost := expected / float64(time.Second)
	if v.TimeLeft() > 0 && expected > float64(v.TimeLeft()) {
		cost *= lateFactor
	}
	if !v.SameZone() {
		cost *= otherZoneMargin
	}
	if v.Cold() {
		cost *= coldFactor
	}
	cost *= (1 + failureWeight*v.FailureRate()) * (1 + jitterWeight*v.Jitter())
	if v.Draining() {
		cost += drainingCost
	}
	return cost
}

// wait returns the expected time until a slot is free, at the usual speed. The requests that
// must end until then are those that wait and one of those that run, which is a part of the work
// left; nothing waits while a slot is free.
func wait(v lagoon.ReplicaView) time.Duration {
	slots, requests := slotsAndLoad(v)
	ahead := max(requests+1-slots, 1) / max(requests, slots)
	return time.Duration(v.BusyShare() * ahead * float64(v.WorkLeft()) / slots)
}
