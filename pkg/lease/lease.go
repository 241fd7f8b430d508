// Package lease derives a lease from heartbeats that a majority of members
// returned, so that a node knows by its own clock alone how long it may act.
//
// # Usage
//
//	var c lease.Count
//	c.Reset(len(members))
//	for each member that is this node: c.Self(now)
//	for each other member:             c.Add(echoedSendTime)
//	until := c.Until(lease.Length)
//
// The argument: a node acts on what it knows (a placement, a configuration)
// only until Length after it sent the heartbeat that a majority returned. A
// returned heartbeat counts only if the member that returned it knew nothing
// newer. Something newer is in force only once a majority knows it and Length
// has passed. Two majorities share a member, so the old lease has ended by
// then. Only durations on each node's own monotonic clock are compared.
package lease

import (
	"sort"
	"time"
)

// Length is the duration of a lease.
const Length = 2 * time.Second

// Settle is the wait of a new owner after a majority knows the new placement.
// It is longer than Length to allow for clocks that run at different rates.
const Settle = Length + Length/20

// Count gathers, per member, the send time of the latest heartbeat that the
// member returned. The zero value counts no members.
type Count struct {
	members int
	times   []time.Duration
}

// Reset starts anew for a number of members.
func (c *Count) Reset(members int) {
	c.members = members
	c.times = c.times[:0]
}

// Add records the send time of a heartbeat that one member returned.
func (c *Count) Add(sent time.Duration) { c.times = append(c.times, sent) }

// Self records that this node is itself a member.
func (c *Count) Self(now time.Duration) { c.Add(now) }

// Heard returns how many members returned a heartbeat.
func (c *Count) Heard() int { return len(c.times) }

// Majority returns the number of members that form a majority.
func (c *Count) Majority() int { return c.members/2 + 1 }

// Until returns the monotonic time at which a lease of the given length ends,
// or 0 when no majority returned a heartbeat. Without members there is nobody
// to hear from and nothing to hold; the result is 0.
func (c *Count) Until(length time.Duration) time.Duration {
	need := c.Majority()
	if c.members == 0 || len(c.times) < need {
		return 0
	}
	sort.Slice(c.times, func(i, j int) bool { return c.times[i] > c.times[j] })
	return c.times[need-1] + length
}
