// Package offer decides, at the owner of a server, which legs are queued.
//
// # Usage
//
//	systems = append(systems, offer.System{})
//
// It reads the view; it writes gates and jobs. A leg that is turned away was
// not sent to the server, and its outcome says so. Under overload the queue
// keeps the legs of the highest weight.
package offer

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/jobs"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/srvvw"
)

// queuePerSlot bounds a gate's queue, in legs per slot of the server.
const queuePerSlot = 6

// System queues legs.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "offer" }

// Run queues or turns away the legs that arrived.
func (s System) Run(l *lane.Lane, now time.Duration) {
	for _, b := range l.TakeBatches() {
		for _, leg := range b.Legs() {
			s.offer(l, b, leg, now)
		}
	}
}

func (s System) offer(l *lane.Lane, b *lagoon.LegBatch, leg lagoon.Leg, now time.Duration) {
	server, ok := l.View().Server(leg.Server())
	if !ok {
		turnAway(l, b, leg, nil, lagoon.StatusNotSent, "the server is not declared")
		return
	}
	gate := l.Gates().Ensure(leg.Server())
	Renew(l, gate, server)
	if l.FanOut() {
		enqueue(l, b, leg, gate, server, now)
		return
	}
	if status, detail := s.judge(l, b, leg, gate, server, now); detail != "" {
		turnAway(l, b, leg, gate, status, detail)
		return
	}
	enqueue(l, b, leg, gate, server, now)
}

// judge returns why a leg is turned away, or an empty detail.
func (s System) judge(l *lane.Lane, b *lagoon.LegBatch, leg lagoon.Leg, gate *gates.Row, server *srvvw.Row, now time.Duration) (lagoon.Status, string) {
	switch {
	case !server.Mine():
		return lagoon.StatusNotSent, "this node does not own the server"
	case !server.Acting():
		return lagoon.StatusNotSent, "this node waits for the lease of the previous owner to end"
	case now >= l.View().LeaseUntil():
		return lagoon.StatusNotSent, "this node's lease has ended"
	case gate.Ejected() > 0:
		return lagoon.StatusNotSent, "the server is held back as an outlier"
	case server.Blocked() != "":
		return lagoon.StatusNotSent, "the server is not used now: " + server.Blocked()
	}
	return s.judgeLoad(l, b, leg, gate, server)
}

func (s System) judgeLoad(l *lane.Lane, b *lagoon.LegBatch, leg lagoon.Leg, gate *gates.Row, server *srvvw.Row) (lagoon.Status, string) {
	limit := gate.Ramp().Limit()
	ahead := gate.Inflight() + len(gate.Queue())
	if leg.Hedge() && ahead >= limit {
		return lagoon.StatusRefused, "no free slot for a hedge"
	}
	if ahead >= limit && expectedWait(gate, ahead, limit) > b.Timeout() {
		return lagoon.StatusRefused, "overload: the deadline cannot be met"
	}
	if len(gate.Queue()) >= queuePerSlot*server.Slots() && !s.shed(l, gate, b.Weight()) {
		return lagoon.StatusRefused, "overload: the queue is full"
	}
	return lagoon.StatusOK, ""
}

// expectedWait returns the time until a job behind ahead others is answered.
func expectedWait(gate *gates.Row, ahead, limit int) time.Duration {
	return gate.Latency() * time.Duration(ahead+limit) / time.Duration(max(limit, 1))
}

// shed drops the youngest queued job of the lowest weight below weight.
func (System) shed(l *lane.Lane, gate *gates.Row, weight int) bool {
	lowest := -1
	var victim *jobs.Row
	for i, id := range gate.Queue() {
		j, ok := l.Jobs().Resolve(id)
		if !ok || j.Weight() >= weight {
			continue
		}
		if victim == nil || j.Weight() <= victim.Weight() {
			lowest, victim = i, j
		}
	}
	if victim == nil {
		return false
	}
	Return(l, victim, gate, lagoon.StatusRefused, "overload: shed for a service of higher weight", 0)
	l.Jobs().Remove(gate.Queue()[lowest])
	gate.SetQueue(append(gate.Queue()[:lowest], gate.Queue()[lowest+1:]...))
	return true
}

func enqueue(l *lane.Lane, b *lagoon.LegBatch, leg lagoon.Leg, gate *gates.Row, server *srvvw.Row, now time.Duration) {
	gateID := gateOf(l, leg.Server())
	id, j := l.Jobs().Add("")
	j.SetGate(gateID)
	j.SetFrom(returnAddr(l, b))
	j.SetFromStart(b.Start())
	j.SetLane(b.Lane())
	j.SetLeg(leg.ID())
	j.SetDeadline(now + b.Timeout())
	j.SetIdempotent(b.Idempotent())
	j.SetHedge(leg.Hedge())
	j.SetWeight(b.Weight())
	j.SetCall(callOf(b, leg, server))
	gate.SetQueue(append(gate.Queue(), id))
	l.Touch(gateID)
}

func callOf(b *lagoon.LegBatch, leg lagoon.Leg, server *srvvw.Row) lagoon.Call {
	var c lagoon.Call
	c.SetAddr(server.Addr())
	c.SetService(b.Service())
	c.SetShard(leg.Shard())
	c.SetSnapshot(b.Snapshot())
	c.SetBody(b.Body())
	c.SetConns(server.Conns())
	return c
}

func gateOf(l *lane.Lane, server string) lagoon.RowID {
	id, _ := l.Gates().IDOf(server)
	return id
}

// returnAddr returns the address that outcomes go to; empty for this node.
func returnAddr(l *lane.Lane, b *lagoon.LegBatch) string {
	if b.From() == l.View().Self() {
		return ""
	}
	return l.View().AddrOf(b.From())
}

// Renew brings a gate up to the view: a new owner, a new start of the server
// and a zone that came back each start the ramp anew.
func Renew(l *lane.Lane, gate *gates.Row, server *srvvw.Row) {
	back := gate.OutVer() != server.OutVer() && !server.Out()
	restarted := server.Start() != 0 && gate.Start() != 0 && server.Start() != gate.Start()
	first := gate.Ramp().Limit() == 0
	if first || back || restarted || gate.Since() != server.Since() {
		gate.SetRamp(l.Ramper().Start(server.Slots()))
		gate.SetWarm(0)
		gate.SetAnswers(0)
		gate.SetSlow(0)
		gate.SetTold(false)
		l.Note("server_ramp_started", server.Name(), "", whyRamp(first, back, restarted))
	}
	if server.Start() != 0 {
		gate.SetStart(server.Start())
	}
	gate.SetSince(server.Since())
	if !server.Out() {
		gate.SetOutVer(server.OutVer())
	}
}

func whyRamp(first, back, restarted bool) string {
	switch {
	case back:
		return "its zone came back; it gets one request at once at first"
	case restarted:
		return "its start id changed; it gets one request at once at first"
	case first:
		return "this node admits for it for the first time; it gets one request at once at first"
	}
	return "this node became its owner; it gets one request at once at first"
}

func turnAway(l *lane.Lane, b *lagoon.LegBatch, leg lagoon.Leg, gate *gates.Row, status lagoon.Status, detail string) {
	var r lagoon.LegResult
	r.SetID(leg.ID())
	r.SetStatus(status)
	r.SetDetail(detail)
	if gate != nil {
		r.SetLimit(gate.Ramp().Limit())
		r.SetLoad(gate.Inflight() + len(gate.Queue()))
		r.SetMean(gate.Latency())
	}
	l.SendResult(returnAddr(l, b), b.Start(), b.Lane(), r)
}

// Return sends a job's outcome back to the lane that planned its leg.
func Return(l *lane.Lane, j *jobs.Row, gate *gates.Row, status lagoon.Status, detail string, took time.Duration) {
	var r lagoon.LegResult
	r.SetID(j.Leg())
	r.SetStatus(status)
	r.SetDetail(detail)
	r.SetTook(took)
	r.SetMean(gate.Latency())
	r.SetLimit(gate.Ramp().Limit())
	r.SetLoad(gate.Inflight() + len(gate.Queue()))
	if status == lagoon.StatusOK {
		r.SetBody(j.Reply().Body())
	}
	l.SendResult(j.From(), j.FromStart(), j.Lane(), r)
}
