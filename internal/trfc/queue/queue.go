// Package queue provides the admission control of shard requests at the owner of a
// server.
//
// # Usage
//
//	systems = append(systems, queue.System{})
//
// It reads the view; it writes gates and jobs. Admitted requests become queued
// jobs. The response to a rejected request guarantees that it was not sent to the
// server. Under overload the queue keeps the requests of the highest weight.
package queue

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/srvvw"
)

// maxQueuedPerSlot is the maximum number of queued jobs per slot of a server.
const maxQueuedPerSlot = 6

// System queues or rejects shard requests.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "queue" }

// Run queues or rejects the shard requests that arrived.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, b := range l.TakeBatches() {
		for _, req := range b.Requests() {
			s.admit(l, b, req, now)
		}
	}
}

func (s System) admit(l *lane.Lane, b *lagoon.ShardRequestBatch, req lagoon.ShardRequest, now time.Duration) {
	server, ok := l.View().Server(req.Server())
	if !ok {
		reject(l, b, req, nil, lagoon.StatusNotSent, "the server is not declared")
		return
	}
	gate := l.Gates().Ensure(req.Server())
	RefreshGate(l, gate, server)
	if l.Unlimited() {
		enqueue(l, b, req, gate, server, now)
		return
	}
	if status, detail := s.checkServer(l, b, req, gate, server, now); detail != "" {
		reject(l, b, req, gate, status, detail)
		return
	}
	enqueue(l, b, req, gate, server, now)
}

// checkServer returns why a request is rejected, or an empty detail if it is not.
func (s System) checkServer(l *lane.Lane, b *lagoon.ShardRequestBatch, req lagoon.ShardRequest, gate *gates.Row, server *srvvw.Row, now time.Duration) (lagoon.Status, string) {
	switch {
	case !server.Owned():
		return lagoon.StatusNotSent, "this node does not own the server"
	case !server.SendAllowed():
		return lagoon.StatusNotSent, "the lease of the previous owner has not expired yet"
	case now >= l.View().LeaseUntil():
		return lagoon.StatusNotSent, "this node's lease has expired"
	case gate.EjectedUntil() > 0:
		return lagoon.StatusNotSent, "the server is ejected as an outlier"
	case server.UnusableReason() != "":
		return lagoon.StatusNotSent, "the server is not usable: " + server.UnusableReason()
	}
	return s.checkLoad(l, b, req, gate, server)
}

// checkLoad returns why a request is rejected because of the server's load, or an
// empty detail if it is not.
func (s System) checkLoad(l *lane.Lane, b *lagoon.ShardRequestBatch, req lagoon.ShardRequest, gate *gates.Row, server *srvvw.Row) (lagoon.Status, string) {
	limit := gate.Ramp().Limit()
	ahead := gate.Inflight() + len(gate.Queue())
	if req.Hedge() && ahead >= limit {
		return lagoon.StatusRefused, "no free slot for a hedge"
	}
	if ahead >= limit && expectedWait(gate, ahead, limit) > b.Timeout() {
		return lagoon.StatusRefused, "overload: the deadline cannot be met"
	}
	if len(gate.Queue()) >= maxQueuedPerSlot*server.Slots() && !s.shed(l, gate, b.Weight()) {
		return lagoon.StatusRefused, "overload: the queue is full"
	}
	return lagoon.StatusOK, ""
}

// expectedWait returns the expected time until a job with ahead jobs before it has
// completed.
func expectedWait(gate *gates.Row, ahead, limit int) time.Duration {
	return gate.MeanLatency() * time.Duration(ahead+limit) / time.Duration(max(limit, 1))
}

// shed rejects the youngest queued job of the lowest weight below weight. It
// returns false if there is none.
func (System) shed(l *lane.Lane, gate *gates.Row, weight int) bool {
	index := -1
	var candidate *jobs.Row
	for i, id := range gate.Queue() {
		j, ok := l.Jobs().Resolve(id)
		if !ok || j.Weight() >= weight {
			continue
		}
		if candidate == nil || j.Weight() <= candidate.Weight() {
			index, candidate = i, j
		}
	}
	if candidate == nil {
		return false
	}
	ReturnResult(l, candidate, gate, lagoon.StatusRefused, "overload: shed for a service of higher weight", 0)
	l.Jobs().Remove(gate.Queue()[index])
	gate.SetQueue(append(gate.Queue()[:index], gate.Queue()[index+1:]...))
	return true
}

func enqueue(l *lane.Lane, b *lagoon.ShardRequestBatch, req lagoon.ShardRequest, gate *gates.Row, server *srvvw.Row, now time.Duration) {
	gateID := findGate(l, req.Server())
	id, j := l.Jobs().Add("")
	j.SetGate(gateID)
	j.SetOriginAddr(returnAddr(l, b))
	j.SetOriginStartID(b.StartID())
	j.SetOriginLane(b.Lane())
	j.SetShardRequestID(req.ID())
	j.SetDeadline(now + b.Timeout())
	j.SetIdempotent(b.Idempotent())
	j.SetHedge(req.Hedge())
	j.SetWeight(b.Weight())
	j.SetCall(newCall(b, req, server))
	gate.SetQueue(append(gate.Queue(), id))
	l.ScheduleLaunch(gateID)
}

func newCall(b *lagoon.ShardRequestBatch, req lagoon.ShardRequest, server *srvvw.Row) lagoon.Call {
	var c lagoon.Call
	c.SetAddr(server.Addr())
	c.SetService(b.Service())
	c.SetShard(req.Shard())
	c.SetSnapshot(b.Snapshot())
	c.SetBody(b.Body())
	c.SetMaxConns(server.MaxConns())
	return c
}

func findGate(l *lane.Lane, server string) lagoon.RowID {
	id, _ := l.Gates().IDOf(server)
	return id
}

// returnAddr returns the address for responses to a batch, or "" for this node.
func returnAddr(l *lane.Lane, b *lagoon.ShardRequestBatch) string {
	if b.From() == l.View().Self() {
		return ""
	}
	return l.View().PeerAddr(b.From())
}

// RefreshGate updates a gate from the view. It restarts the ramp if the server has a
// new owner, has restarted, or its zone was returned to service.
func RefreshGate(l *lane.Lane, gate *gates.Row, server *srvvw.Row) {
	zoneRestored := gate.ZoneRestoredVersion() != server.ZoneRestoredVersion() && !server.ZoneOut()
	restarted := server.StartID() != 0 && gate.StartID() != 0 && server.StartID() != gate.StartID()
	first := gate.Ramp().Limit() == 0
	if first || zoneRestored || restarted || gate.SinceVersion() != server.SinceVersion() {
		gate.SetRamp(l.RampPolicy().Start(server.Slots()))
		gate.SetWarmLatency(0)
		gate.SetResponses(0)
		gate.SetConsecutiveSlow(0)
		gate.SetReported(false)
		l.Record("server_ramp_started", server.Name(), "", rampReason(first, zoneRestored, restarted))
	}
	if server.StartID() != 0 {
		gate.SetStartID(server.StartID())
	}
	gate.SetSinceVersion(server.SinceVersion())
	if !server.ZoneOut() {
		gate.SetZoneRestoredVersion(server.ZoneRestoredVersion())
	}
}

func rampReason(first, zoneRestored, restarted bool) string {
	switch {
	case zoneRestored:
		return "its zone is back in service; its concurrency limit starts at 1"
	case restarted:
		return "its start id changed; its concurrency limit starts at 1"
	case first:
		return "first request from this node; its concurrency limit starts at 1"
	}
	return "this node became its owner; its concurrency limit starts at 1"
}

func reject(l *lane.Lane, b *lagoon.ShardRequestBatch, req lagoon.ShardRequest, gate *gates.Row, status lagoon.Status, detail string) {
	var r lagoon.ShardResponse
	r.SetID(req.ID())
	r.SetStatus(status)
	r.SetDetail(detail)
	if gate != nil {
		r.SetLimit(gate.Ramp().Limit())
		r.SetLoad(gate.Inflight() + len(gate.Queue()))
		r.SetMeanLatency(gate.MeanLatency())
	}
	l.SendResponse(returnAddr(l, b), b.StartID(), b.Lane(), r)
}

// ReturnResult sends the result of a job to the lane that sent the shard request.
func ReturnResult(l *lane.Lane, j *jobs.Row, gate *gates.Row, status lagoon.Status, detail string, duration time.Duration) {
	var r lagoon.ShardResponse
	r.SetID(j.ShardRequestID())
	r.SetStatus(status)
	r.SetDetail(detail)
	r.SetDuration(duration)
	r.SetMeanLatency(gate.MeanLatency())
	r.SetLimit(gate.Ramp().Limit())
	r.SetLoad(gate.Inflight() + len(gate.Queue()))
	if status == lagoon.StatusOK {
		r.SetBody(j.Reply().Body())
	}
	l.SendResponse(j.OriginAddr(), j.OriginStartID(), j.OriginLane(), r)
}
