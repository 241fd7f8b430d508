// Package route chooses the server for a leg.
//
// # Usage
//
//	var c route.Chooser
//	server, ok := c.Choose(l, q, shard)
//	c.Start(l, queryID, q, shard, server, false)
//
// The plan, gather and hedge systems share it.
package route

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/srvvw"
)

// defaultLatency stands for the latency of a server that has not answered yet.
const defaultLatency = 5 * time.Millisecond

// trustLocal is how long what a result told of a server goes before what its
// owner told everybody.
const trustLocal = 2 * time.Second

// Chooser chooses servers. The zero value works; it keeps a buffer.
type Chooser struct {
	candidates []lagoon.Candidate
	servers    []string
}

// Choose returns a server for a shard of a query that has no leg for the shard
// yet, or false when there is none.
func (c *Chooser) Choose(l *lane.Lane, q *qrys.Row, shard int) (*srvvw.Row, bool) {
	if s, ok := c.choose(l, q, shard, true); ok {
		return s, true
	}
	return c.choose(l, q, shard, false)
}

// choose chooses among the servers whose owners are not suspected, or among
// all.
func (c *Chooser) choose(l *lane.Lane, q *qrys.Row, shard int, wary bool) (*srvvw.Row, bool) {
	c.candidates = c.candidates[:0]
	c.servers = c.servers[:0]
	v, now := l.View(), l.Clock().Now()
	for _, name := range q.Groups()[shard] {
		s, ok := v.Server(name)
		if !ok || !c.eligible(l, q, s) || c.tried(l, q, shard, name) {
			continue
		}
		if wary && suspected(l, s.Owner(), now) {
			continue
		}
		c.add(l, s, v.Zone(), now)
	}
	i := l.Picker().Pick(c.candidates, l.Seed())
	if i < 0 {
		return nil, false
	}
	return v.Server(c.servers[i])
}

// suspected reports whether an owner answers nothing lately.
func suspected(l *lane.Lane, owner string, now time.Duration) bool {
	p, ok := l.Peers().Find(owner)
	return ok && now < p.SuspectUntil()
}

func (*Chooser) eligible(l *lane.Lane, q *qrys.Row, s *srvvw.Row) bool {
	if l.FanOut() {
		return true
	}
	return s.Usable() && s.Holds(q.Snapshot())
}

// tried reports whether the query already sent a leg for the shard to a server.
func (*Chooser) tried(l *lane.Lane, q *qrys.Row, shard int, server string) bool {
	return slices.ContainsFunc(q.Legs(), func(id lagoon.RowID) bool {
		leg, ok := l.Legs().Resolve(id)
		return ok && leg.Shard() == shard && leg.Server() == server
	})
}

func (c *Chooser) add(l *lane.Lane, s *srvvw.Row, zone string, now time.Duration) {
	var x lagoon.Candidate
	x.SetLimit(s.Limit())
	x.SetLoad(s.Load())
	x.SetLatency(s.Latency())
	x.SetSameZone(s.OwnerZone() == zone)
	if local, ok := l.Loads().Find(s.Name()); ok && local.Limit() > 0 && now-local.Heard() < trustLocal {
		x.SetLimit(local.Limit())
		x.SetLoad(max(local.Told(), local.Outstanding()))
		x.SetLatency(local.Latency())
	}
	if x.Latency() == 0 {
		x.SetLatency(defaultLatency)
	}
	c.candidates = append(c.candidates, x)
	c.servers = append(c.servers, s.Name())
}

// Start adds a leg of a query to the tables and lists it to be sent.
func (*Chooser) Start(l *lane.Lane, id lagoon.RowID, q *qrys.Row, shard int, s *srvvw.Row, hedge bool) {
	legID, leg := l.Legs().Add("")
	leg.SetQuery(id)
	leg.SetShard(shard)
	leg.SetServer(s.Name())
	leg.SetOwner(s.Owner())
	leg.SetHedge(hedge)
	if !s.Mine() && !l.FanOut() {
		leg.SetOwnerAddr(s.OwnerAddr())
	}
	q.SetLegs(append(q.Legs(), legID))
	q.Tries()[shard]++
	q.Running()[shard]++
	load := l.Loads().Ensure(s.Name())
	load.SetOutstanding(load.Outstanding() + 1)
	l.Ready(legID)
}
