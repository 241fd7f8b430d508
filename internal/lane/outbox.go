package lane

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/gates"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// outbox holds the messages that the systems of one tick send.
type outbox struct {
	batches       []outgoing[*lagoon.ShardRequestBatch]
	responses     []outgoing[*lagoon.ShardResponseBatch]
	cancels       []outgoing[*lagoon.ShardRequestCancel]
	claimRequests []outgoing[*lagoon.ClaimRequest]
}

// outgoing is a message for the node at addr; an empty addr means this node.
type outgoing[M any] struct {
	addr    string
	message M
}

// LaneForServer returns the number of the lane that has a server's gate.
func (l *Lane) LaneForServer(server string) int {
	return int(xxhash.Sum64String(server) % uint64(len(l.mailboxes)))
}

// SendBatch queues a batch of a query's shard requests for the owner at addr. A
// batch for this node is split by lane.
func (l *Lane) SendBatch(addr string, b *lagoon.ShardRequestBatch) {
	l.outbox.batches = append(l.outbox.batches, outgoing[*lagoon.ShardRequestBatch]{addr, b})
}

// SendResponse queues a shard response for a lane of the node at addr.
func (l *Lane) SendResponse(addr string, startID uint64, laneNumber int, r lagoon.ShardResponse) {
	for _, out := range l.outbox.responses {
		if out.addr == addr && out.message.Lane() == laneNumber && out.message.StartID() == startID {
			out.message.SetResponses(append(out.message.Responses(), r))
			return
		}
	}
	m := &lagoon.ShardResponseBatch{}
	m.SetLane(laneNumber)
	m.SetStartID(startID)
	m.SetResponses([]lagoon.ShardResponse{r})
	l.outbox.responses = append(l.outbox.responses, outgoing[*lagoon.ShardResponseBatch]{addr, m})
}

// SendCancel queues the cancellation of a shard request for the owner at addr.
func (l *Lane) SendCancel(addr string, shardRequestID uint64) {
	for _, out := range l.outbox.cancels {
		if out.addr == addr {
			out.message.SetIDs(append(out.message.IDs(), shardRequestID))
			return
		}
	}
	m := &lagoon.ShardRequestCancel{}
	m.SetFrom(l.view.Self())
	m.SetStartID(l.view.StartID())
	m.SetIDs([]uint64{shardRequestID})
	m.SetLane(l.number)
	m.SetHasLane(true)
	l.outbox.cancels = append(l.outbox.cancels, outgoing[*lagoon.ShardRequestCancel]{addr, m})
}

// SendClaim queues a claim request for the keeper at addr.
func (l *Lane) SendClaim(addr string, m *lagoon.ClaimRequest) {
	l.outbox.claimRequests = append(l.outbox.claimRequests, outgoing[*lagoon.ClaimRequest]{addr, m})
}

// flush sends the queued messages. If a shard or claim request cannot be sent, no
// byte of it has left the node; flush responds to it with StatusNotSent or
// ClaimUnavailable.
func (l *Lane) flush() {
	for _, out := range l.outbox.batches {
		l.flushBatch(out.addr, out.message)
	}
	for _, out := range l.outbox.responses {
		l.flushResponses(out.addr, out.message)
	}
	for _, out := range l.outbox.cancels {
		l.flushCancel(out.addr, out.message)
	}
	for _, out := range l.outbox.claimRequests {
		l.flushClaim(out.addr, out.message)
	}
	l.outbox.batches = l.outbox.batches[:0]
	l.outbox.responses = l.outbox.responses[:0]
	l.outbox.cancels = l.outbox.cancels[:0]
	l.outbox.claimRequests = l.outbox.claimRequests[:0]
}

func (l *Lane) flushBatch(addr string, b *lagoon.ShardRequestBatch) {
	if addr != "" {
		if !l.link.Send(addr, b) {
			l.rejectBatch(b, "no connection to the owner")
		}
		return
	}
	for number, part := range l.Split(b) {
		switch {
		case part == nil:
		case number == l.number:
			l.batches = append(l.batches, part)
			l.tickAgain = true
		case !l.mailboxes[number].TryPost(part):
			l.rejectBatch(part, "the mailbox of the owner's lane is full")
		}
	}
}

// Split divides a batch by the lanes that have the gates of its servers. The part
// of a lane without requests is nil. Split is safe for concurrent use.
func (l *Lane) Split(b *lagoon.ShardRequestBatch) []*lagoon.ShardRequestBatch {
	parts := make([]*lagoon.ShardRequestBatch, len(l.mailboxes))
	if len(parts) == 1 {
		parts[0] = b
		return parts
	}
	for _, req := range b.Requests() {
		n := l.LaneForServer(req.Server())
		if parts[n] == nil {
			c := *b
			c.SetRequests(nil)
			parts[n] = &c
		}
		parts[n].SetRequests(append(parts[n].Requests(), req))
	}
	return parts
}

// rejectBatch responds to the requests of a batch with StatusNotSent.
func (l *Lane) rejectBatch(b *lagoon.ShardRequestBatch, detail string) {
	for _, req := range b.Requests() {
		var r lagoon.ShardResponse
		r.SetID(req.ID())
		r.SetStatus(lagoon.StatusNotSent)
		r.SetDetail(detail)
		l.responses = append(l.responses, r)
	}
	l.tickAgain = true
}

func (l *Lane) flushResponses(addr string, m *lagoon.ShardResponseBatch) {
	switch {
	case addr != "":
		l.link.Send(addr, m) // if the response is lost, the query's deadline applies
	case m.Lane() == l.number:
		if m.StartID() == l.view.StartID() {
			l.responses = append(l.responses, m.Responses()...)
			l.tickAgain = true
		}
	case m.Lane() < len(l.mailboxes):
		l.mailboxes[m.Lane()].TryPost(m)
	}
}

func (l *Lane) flushCancel(addr string, m *lagoon.ShardRequestCancel) {
	if addr != "" {
		l.link.Send(addr, m)
		return
	}
	for _, box := range l.mailboxes {
		box.TryPost(m)
	}
}

func (l *Lane) flushClaim(addr string, m *lagoon.ClaimRequest) {
	sent := false
	if addr == "" {
		sent = l.control.TryPost(m)
	} else {
		sent = l.link.Send(addr, m)
	}
	if sent || m.Void() {
		return
	}
	resp := &lagoon.ClaimResponse{}
	resp.SetQueryID(m.QueryID())
	resp.SetAttempt(m.Attempt())
	resp.SetOutcome(lagoon.ClaimUnavailable)
	resp.SetDetail("no connection to the keeper of the claim")
	_ = l.mailbox.TryPost(resp)
}

// report posts the status of the changed gates to control and, after a change of
// the placement, that of the servers that this node does not own.
func (l *Lane) report() {
	var out []lagoon.ServerStatus
	for i := range l.gates.Len() {
		g := l.gates.At(i)
		l.decayLatency(g)
		if !g.Reported() {
			out = append(out, l.statusOf(l.gates.Key(i), g))
			g.SetReported(true)
		}
	}
	if l.view.PlacementVersion() != l.reportedPlacement {
		l.reportedPlacement = l.view.PlacementVersion()
		out = l.appendUnowned(out)
	}
	if len(out) == 0 {
		return
	}
	if !l.control.TryPost(out) {
		for i := range l.gates.Len() {
			l.gates.At(i).SetReported(false)
		}
	}
}

// appendUnowned appends the status of the servers that this node does not own, so
// that control can determine which released servers have no requests in flight from
// this node.
func (l *Lane) appendUnowned(out []lagoon.ServerStatus) []lagoon.ServerStatus {
	servers := l.view.Servers()
	for i := range servers {
		name := servers[i].Name()
		if servers[i].Owned() || l.LaneForServer(name) != l.number {
			continue
		}
		gate := &gates.Row{}
		if g, ok := l.gates.Find(name); ok {
			gate = g
		}
		out = append(out, l.statusOf(name, gate))
	}
	return out
}

// decayLatency reduces the mean latency of an idle server towards its warm
// latency, so that a server that was slow once is selected again.
func (l *Lane) decayLatency(g *gates.Row) {
	const decayPerReport = 0.98
	if g.Inflight() > 0 || g.WarmLatency() == 0 || g.MeanLatency() <= g.WarmLatency() {
		return
	}
	g.SetMeanLatency(max(g.WarmLatency(), time.Duration(float64(g.MeanLatency())*decayPerReport)))
	g.SetReported(false)
}

func (l *Lane) statusOf(server string, g *gates.Row) lagoon.ServerStatus {
	var s lagoon.ServerStatus
	s.SetServer(server)
	s.SetStartID(g.StartID())
	s.SetPlacementVersion(l.view.PlacementVersion())
	s.SetEjected(g.EjectedUntil() > 0)
	s.SetLimit(g.Ramp().Limit())
	s.SetLoad(g.Inflight() + len(g.Queue()))
	s.SetLatency(g.MeanLatency())
	return s
}

// ScheduleReport makes the lane report changed gates to control at the end of this
// tick.
func (l *Lane) ScheduleReport() { l.lastReport = -reportInterval }

// WakeAt starts a timer for a row.
func (l *Lane) WakeAt(at time.Duration, kind int, id lagoon.RowID) { l.timers.Add(at, kind, id) }

// ReleaseSlotAt starts the timer that releases a slot of a gate.
func (l *Lane) ReleaseSlotAt(at time.Duration, id lagoon.RowID) { l.timers.Add(at, timers.Grace, id) }
