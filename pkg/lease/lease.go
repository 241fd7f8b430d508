// Package lease computes leases from heartbeats that a majority of members echoed.
// The holder needs only its own monotonic clock to determine when its lease ends.
//
// # Usage
//
//	var q lease.Quorum
//	q.Reset(len(members))
//	for the member that is this node: q.AddSelf(now)
//	for each other member:            q.Add(echoedSendTime)
//	expiry := q.Expiry(lease.Length)
//
// Safety: a node acts on a placement or configuration only until Length after it
// sent a heartbeat that a majority echoed. An echo counts only if the member that
// sent it had no newer version. A newer version is in force only when a majority has
// it and Length has passed since. Two majorities have a member in common, so the old
// lease has expired by then. Times are compared only within one node, on its
// monotonic clock.
package lease

import (
	"sort"
	"time"
)

// Length is the duration of a lease.
const Length = 2 * time.Second

// TakeoverDelay is how long a new owner waits after a majority of the previous
// members has the new placement. It is 5% longer than Length, to tolerate clocks of different rates.
const TakeoverDelay = Length + Length/20

// Quorum collects the send time of the latest heartbeat that each member echoed.
// The zero value has no members.
type Quorum struct {
	members   int
	sendTimes []time.Duration
}

// Reset removes all send times and sets the number of members.
func (q *Quorum) Reset(members int) {
	q.members = members
	q.sendTimes = q.sendTimes[:0]
}

// Add records the send time of a heartbeat that one member echoed.
func (q *Quorum) Add(sent time.Duration) { q.sendTimes = append(q.sendTimes, sent) }

// AddSelf counts this node, which is a member, as if it had echoed a heartbeat now.
func (q *Quorum) AddSelf(now time.Duration) { q.Add(now) }

// Responses returns the number of members that echoed a heartbeat, including this
// node.
func (q *Quorum) Responses() int { return len(q.sendTimes) }

// Majority returns the number of members that form a majority.
func (q *Quorum) Majority() int { return q.members/2 + 1 }

// Expiry returns the monotonic time at which a lease of the given length expires, or
// 0 if no majority echoed a heartbeat or there are no members.
func (q *Quorum) Expiry(length time.Duration) time.Duration {
	majority := q.Majority()
	if q.members == 0 || len(q.sendTimes) < majority {
		return 0
	}
	sort.Slice(q.sendTimes, func(i, j int) bool { return q.sendTimes[i] > q.sendTimes[j] })
	return q.sendTimes[majority-1] + length
}
