package lane

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/due"
	"github.com/lagoontrail/lagoon/internal/gates"
)

// outbox collects what the systems of one tick send.
type outbox struct {
	batches []addressed[*lagoon.LegBatch]
	results []addressed[*lagoon.LegResults]
	cancels []addressed[*lagoon.LegCancel]
	claims  []addressed[*lagoon.ClaimAsk]
}

// addressed is a message for the node at addr; an empty addr is this node.
type addressed[M any] struct {
	addr string
	m    M
}

// LaneOf returns the lane of this node that holds a server's gate.
func (l *Lane) LaneOf(server string) int {
	return int(xxhash.Sum64String(server) % uint64(len(l.siblings)))
}

// SendBatch sends a query's legs to the owner at addr. Legs for this node are
// split by the lane that holds the gate.
func (l *Lane) SendBatch(addr string, b *lagoon.LegBatch) {
	l.out.batches = append(l.out.batches, addressed[*lagoon.LegBatch]{addr, b})
}

// SendResult returns the outcome of a leg to the lane of the node at addr.
func (l *Lane) SendResult(addr string, start uint64, number int, r lagoon.LegResult) {
	for _, a := range l.out.results {
		if a.addr == addr && a.m.Lane() == number && a.m.Start() == start {
			a.m.SetResults(append(a.m.Results(), r))
			return
		}
	}
	m := &lagoon.LegResults{}
	m.SetLane(number)
	m.SetStart(start)
	m.SetResults([]lagoon.LegResult{r})
	l.out.results = append(l.out.results, addressed[*lagoon.LegResults]{addr, m})
}

// SendCancel withdraws a leg at the owner at addr.
func (l *Lane) SendCancel(addr string, leg uint64) {
	for _, a := range l.out.cancels {
		if a.addr == addr {
			a.m.SetIDs(append(a.m.IDs(), leg))
			return
		}
	}
	m := &lagoon.LegCancel{}
	m.SetFrom(l.view.Self())
	m.SetStart(l.view.Start())
	m.SetIDs([]uint64{leg})
	l.out.cancels = append(l.out.cancels, addressed[*lagoon.LegCancel]{addr, m})
}

// SendClaim asks the keeper at addr; an empty addr is this node.
func (l *Lane) SendClaim(addr string, m *lagoon.ClaimAsk) {
	l.out.claims = append(l.out.claims, addressed[*lagoon.ClaimAsk]{addr, m})
}

// flush sends what the tick collected. What could not be sent comes back as a
// refusal, which is true since no byte of it left.
func (l *Lane) flush() {
	for _, a := range l.out.batches {
		l.flushBatch(a.addr, a.m)
	}
	for _, a := range l.out.results {
		l.flushResults(a.addr, a.m)
	}
	for _, a := range l.out.cancels {
		l.flushCancel(a.addr, a.m)
	}
	for _, a := range l.out.claims {
		l.flushClaim(a.addr, a.m)
	}
	l.out.batches = l.out.batches[:0]
	l.out.results = l.out.results[:0]
	l.out.cancels = l.out.cancels[:0]
	l.out.claims = l.out.claims[:0]
}

func (l *Lane) flushBatch(addr string, b *lagoon.LegBatch) {
	if addr != "" {
		if !l.link.Send(addr, b) {
			l.bounce(b, "no connection to the owner")
		}
		return
	}
	for number, part := range l.Split(b) {
		switch {
		case part == nil:
		case number == l.number:
			l.batches = append(l.batches, part)
			l.again = true
		case !l.siblings[number].TryPost(part):
			l.bounce(part, "the owner's lane is full")
		}
	}
}

// Split divides a batch by the lanes that hold the gates of its servers; a lane
// without legs has a nil part. It is safe on any goroutine.
func (l *Lane) Split(b *lagoon.LegBatch) []*lagoon.LegBatch {
	parts := make([]*lagoon.LegBatch, len(l.siblings))
	if len(parts) == 1 {
		parts[0] = b
		return parts
	}
	for _, leg := range b.Legs() {
		n := l.LaneOf(leg.Server())
		if parts[n] == nil {
			c := *b
			c.SetLegs(nil)
			parts[n] = &c
		}
		parts[n].SetLegs(append(parts[n].Legs(), leg))
	}
	return parts
}

// bounce returns the legs of a batch as not sent.
func (l *Lane) bounce(b *lagoon.LegBatch, detail string) {
	for _, leg := range b.Legs() {
		var r lagoon.LegResult
		r.SetID(leg.ID())
		r.SetStatus(lagoon.StatusNotSent)
		r.SetDetail(detail)
		l.results = append(l.results, r)
	}
	l.again = true
}

func (l *Lane) flushResults(addr string, m *lagoon.LegResults) {
	switch {
	case addr != "":
		l.link.Send(addr, m) // a lost result ends with the query's deadline
	case m.Lane() == l.number:
		if m.Start() == l.view.Start() {
			l.results = append(l.results, m.Results()...)
			l.again = true
		}
	case m.Lane() < len(l.siblings):
		l.siblings[m.Lane()].TryPost(m)
	}
}

func (l *Lane) flushCancel(addr string, m *lagoon.LegCancel) {
	if addr != "" {
		l.link.Send(addr, m)
		return
	}
	for _, box := range l.siblings {
		box.TryPost(m)
	}
}

func (l *Lane) flushClaim(addr string, m *lagoon.ClaimAsk) {
	sent := false
	if addr == "" {
		sent = l.control.TryPost(m)
	} else {
		sent = l.link.Send(addr, m)
	}
	if sent || m.Void() {
		return
	}
	t := &lagoon.ClaimTold{}
	t.SetQuery(m.Query())
	t.SetAttempt(m.Attempt())
	t.SetOutcome(lagoon.ClaimUnavailable)
	t.SetDetail("no connection to the keeper of the claim")
	_ = l.box.TryPost(t)
}

// report tells control the state of the gates that changed.
func (l *Lane) report() {
	var out []lagoon.ServerStatus
	for i := range l.gates.Len() {
		g := l.gates.At(i)
		l.forget(g)
		if !g.Told() {
			out = append(out, l.statusOf(l.gates.Key(i), g))
			g.SetTold(true)
		}
	}
	if l.view.Placement() != l.placement {
		l.placement = l.view.Placement()
		out = l.others(out)
	}
	if len(out) == 0 {
		return
	}
	if !l.control.TryPost(out) {
		for i := range l.gates.Len() {
			l.gates.At(i).SetTold(false)
		}
	}
}

// others adds the servers that this node does not own under a new placement,
// so that control sees which of those it gave up have no requests left.
func (l *Lane) others(out []lagoon.ServerStatus) []lagoon.ServerStatus {
	servers := l.view.Servers()
	for i := range servers {
		name := servers[i].Name()
		if servers[i].Mine() || l.LaneOf(name) != l.number {
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

// forget lets a server's mean time fall towards its warm one while it answers
// nothing, so that a server which was slow once is tried again.
func (l *Lane) forget(g *gates.Row) {
	const keep = 0.98 // per report
	if g.Inflight() > 0 || g.Warm() == 0 || g.Latency() <= g.Warm() {
		return
	}
	g.SetLatency(max(g.Warm(), time.Duration(float64(g.Latency())*keep)))
	g.SetTold(false)
}

func (l *Lane) statusOf(server string, g *gates.Row) lagoon.ServerStatus {
	var s lagoon.ServerStatus
	s.SetServer(server)
	s.SetStart(g.Start())
	s.SetPlacement(l.view.Placement())
	s.SetEjected(g.Ejected() > 0)
	s.SetLimit(g.Ramp().Limit())
	s.SetLoad(g.Inflight() + len(g.Queue()))
	s.SetLatency(g.Latency())
	return s
}

// ReportSoon makes the next tick tell control of changed gates.
func (l *Lane) ReportSoon() { l.reported = -reportInterval }

// WakeAt wakes the lane for a row at a time.
func (l *Lane) WakeAt(at time.Duration, kind int, id lagoon.RowID) { l.due.Add(at, kind, id) }

// SlotBack makes the lane give a slot of a gate back after a wait.
func (l *Lane) SlotBack(at time.Duration, gate lagoon.RowID) { l.due.Add(at, due.Slot, gate) }
