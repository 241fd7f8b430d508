// Package reply sends responses to the callers and cancels attempts that are no
// longer needed.
//
// # Usage
//
//	systems = append(systems, reply.System{})
//
// An attempt whose request was answered without it may continue for Linger. This
// preserves its connection and shows whether the server answers at all. The
// attempts of any other request, such as one whose caller disconnected, are
// canceled at once.
package reply

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/calls"
	"github.com/lagoontrail/lagoon/internal/direct/flow"
	"github.com/lagoontrail/lagoon/internal/due"
)

// Linger is the time for which an attempt may continue after its request was
// answered. It is below the 500 ms after which the work of a server counts as
// wasted.
const Linger = 150 * time.Millisecond

// System sends responses.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "reply" }

// Run sends the responses that were decided in this tick.
func (System) Run(l *flow.Flow, now time.Duration) {
	for _, id := range l.DueRows(due.Gate) {
		if s, ok := l.Attempts().Resolve(id); ok && !s.Done() {
			s.Cancel()()
		}
	}
	for _, id := range l.Decided() {
		c, ok := l.Requests().Resolve(id)
		if !ok {
			continue
		}
		logResponse(l, c, now)
		c.Reply() <- c.Response()
		cancelAttempts(l, c, now)
		l.RemoveRequest(id)
	}
}

// cancelAttempts removes the request's shards and cancels its attempts, after
// Linger if the request was answered.
func cancelAttempts(l *flow.Flow, c *calls.Row, now time.Duration) {
	response := c.Response()
	linger := response.End() == lagoon.EndServed || response.End() == lagoon.EndGathered
	for _, sid := range c.Shards() {
		sh, ok := l.Shards().Resolve(sid)
		if !ok {
			continue
		}
		for _, id := range sh.Attempts() {
			s, ok := l.Attempts().Resolve(id)
			if !ok || s.Done() {
				continue
			}
			s.SetRequestDone(true)
			if linger {
				l.WakeAt(now+Linger, due.Gate, id)
			} else {
				s.Cancel()()
			}
		}
		l.Shards().Remove(sid)
	}
}

// logResponse writes the outcome of a request and its attempts to the journal.
func logResponse(l *flow.Flow, c *calls.Row, now time.Duration) {
	response, request := c.Response(), c.Ask()
	catalog := c.View().Catalog()
	name := ""
	if c.Route() != nil {
		name = c.Route().Name()
	}
	l.Note("request_"+response.End().String(), name, request.ID(), fmt.Sprintf("%s; took %s, caller started %s earlier, catalog version %d, registry reachable %t; attempts:%s",
		response.Reason(), (now-c.Arrived()).Round(time.Millisecond), callerElapsed(c), catalog.Version(), c.View().Current(), c.Trace()))
}

// callerElapsed returns how long the caller had waited when its request arrived.
func callerElapsed(c *calls.Row) time.Duration {
	if c.Route() == nil {
		return 0
	}
	return (c.Arrived() - c.CallerStart()).Round(time.Millisecond)
}
