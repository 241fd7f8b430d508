// Package reply sends responses to the callers and cancels attempts that are no
// longer needed.
//
// # Usage
//
//	systems = append(systems, reply.System{})
//
// An attempt whose request was answered without it may continue for Linger. This
// preserves its connection and shows whether the server responds at all. The
// attempts of any other request, such as one whose caller disconnected, are
// cancelled immediately.
package reply

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/quota"
	"github.com/lagoontrail/lagoon/internal/timers"
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
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, id := range l.DueRows(timers.Grace) {
		if attempt, ok := l.Attempts().Resolve(id); ok && !attempt.Done() {
			attempt.Cancel()()
		}
	}
	for _, id := range l.Decided() {
		req, ok := l.Requests().Resolve(id)
		if !ok {
			continue
		}
		quota.Return(l, req, now)
		recordResponse(l, req, now)
		req.ResponseChan() <- req.Response()
		cancelAttempts(l, req, now)
		l.RemoveRequest(id)
	}
}

// cancelAttempts removes the request's shards and cancels its attempts, after
// Linger if the request was answered.
func cancelAttempts(l *loop.Loop, req *reqs.Row, now time.Duration) {
	response := req.Response()
	linger := response.Outcome() == lagoon.RequestServed || response.Outcome() == lagoon.RequestGathered
	for _, shardID := range req.Shards() {
		shard, ok := l.Shards().Resolve(shardID)
		if !ok {
			continue
		}
		for _, id := range shard.Attempts() {
			attempt, ok := l.Attempts().Resolve(id)
			if !ok || attempt.Done() {
				continue
			}
			attempt.SetRequestDone(true)
			if linger {
				l.WakeAt(now+Linger, timers.Grace, id)
			} else {
				attempt.Cancel()()
			}
		}
		l.Shards().Remove(shardID)
	}
}

// recordResponse writes the outcome of a request and its attempts to the journal.
func recordResponse(l *loop.Loop, req *reqs.Row, now time.Duration) {
	response, request := req.Response(), req.Request()
	catalog := req.View().Catalog()
	name := ""
	if req.Route() != nil {
		name = req.Route().Name()
	}
	l.Record("request_"+response.Outcome().String(), name, request.ID(), fmt.Sprintf("%s;%s took %s, caller started %s earlier, catalog version %d, registry reachable %t; attempts:%s",
		response.Reason()+describeOrganisation(req), describeMissing(l, req, now), (now-req.ArrivedAt()).Round(time.Millisecond), callerElapsed(req), catalog.Version(), req.View().RegistryReachable(), req.Trace()))
}

// describeOrganisation names the organisation of a request, if it has one.
func describeOrganisation(req *reqs.Row) string {
	if req.Organisation() == "" {
		return ""
	}
	return "; organisation " + strconv.Quote(req.Organisation())
}

// callerElapsed returns how long the caller had waited when its request arrived.
func callerElapsed(req *reqs.Row) time.Duration {
	if req.Route() == nil {
		return 0
	}
	return (req.ArrivedAt() - req.CallerStart()).Round(time.Millisecond)
}

// describeMissing describes why each shard is missing from a response that covers only
// some of them, or returns an empty string.
func describeMissing(l *loop.Loop, req *reqs.Row, now time.Duration) string {
	response := req.Response()
	if response.MissingShards() == 0 {
		return ""
	}
	var out strings.Builder
	out.WriteString(" missing:")
	for _, id := range req.Shards() {
		if shard, ok := l.Shards().Resolve(id); ok && shard.State() != shards.Covered {
			fmt.Fprintf(&out, " %s (%s)", shard.Service(), describeShard(l, shard, now))
		}
	}
	out.WriteString(";")
	return out.String()
}

// describeShard describes what a shard without a response is waiting for.
func describeShard(l *loop.Loop, shard *shards.Row, now time.Duration) string {
	var waits []string
	for _, id := range shard.Attempts() {
		if attempt, ok := l.Attempts().Resolve(id); ok && !attempt.Done() {
			waits = append(waits, fmt.Sprintf("%s has had the attempt for %s", attempt.Server(), (now-attempt.SentAt()).Round(time.Millisecond)))
		}
	}
	if shard.AttemptPending() {
		waits = append(waits, fmt.Sprintf("an attempt is queued for %s, needs a token: %t", (now-shard.QueuedAt()).Round(time.Millisecond), shard.NeedsToken()))
	}
	if shard.Detail() != "" {
		waits = append(waits, shard.Detail())
	}
	return strings.Join(waits, ", ")
}
