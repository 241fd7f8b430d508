// Package route selects the server for a shard request.
//
// # Usage
//
//	var s route.Selector
//	server, ok := s.Select(l, q, shard)
//	s.AddRequest(l, queryID, q, shard, server, false)
//
// It is shared by the plan, gather and hedger systems.
package route

import (
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/srvvw"
)

// defaultLatency is the assumed latency of a server that has not responded yet.
const defaultLatency = 5 * time.Millisecond

// localLoadTTL is the time for which the load in a shard response takes precedence
// over the load in the owner's heartbeats.
const localLoadTTL = 2 * time.Second

// Selector selects servers. The zero value is ready to use.
type Selector struct {
	candidates []lagoon.Candidate
	servers    []string
}

// Select returns a server to which the query has not yet sent a request for the
// shard, or false if there is none. It selects a server of a suspect owner only if
// there is no other.
func (sel *Selector) Select(l *lane.Lane, q *query.Row, shard int) (*srvvw.Row, bool) {
	if s, ok := sel.selectFrom(l, q, shard, true); ok {
		return s, true
	}
	return sel.selectFrom(l, q, shard, false)
}

// selectFrom selects among the servers whose owners are not suspect, or among all.
func (sel *Selector) selectFrom(l *lane.Lane, q *query.Row, shard int, skipSuspect bool) (*srvvw.Row, bool) {
	sel.candidates = sel.candidates[:0]
	sel.servers = sel.servers[:0]
	v, now := l.View(), l.Clock().Now()
	for _, name := range q.Groups()[shard] {
		s, ok := v.Server(name)
		if !ok || !sel.eligible(l, q, s) || sel.attempted(l, q, shard, name) {
			continue
		}
		if skipSuspect && suspected(l, s.Owner(), now) {
			continue
		}
		sel.addCandidate(l, s, v.Zone(), now)
	}
	i := l.Picker().Pick(sel.candidates, l.Random())
	if i < 0 {
		return nil, false
	}
	return v.Server(sel.servers[i])
}

// suspected reports whether an owner is suspect because it did not respond.
func suspected(l *lane.Lane, owner string, now time.Duration) bool {
	p, ok := l.Peers().Find(owner)
	return ok && now < p.SuspectUntil()
}

func (*Selector) eligible(l *lane.Lane, q *query.Row, s *srvvw.Row) bool {
	if l.Unlimited() {
		return true
	}
	return s.Usable() && s.Holds(q.Snapshot())
}

// attempted reports whether the query sent a request for the shard to a server.
func (*Selector) attempted(l *lane.Lane, q *query.Row, shard int, server string) bool {
	return slices.ContainsFunc(q.Requests(), func(id lagoon.RowID) bool {
		req, ok := l.ShardRequests().Resolve(id)
		return ok && req.ShardIndex() == shard && req.Server() == server
	})
}

func (sel *Selector) addCandidate(l *lane.Lane, s *srvvw.Row, zone string, now time.Duration) {
	var candidate lagoon.Candidate
	candidate.SetLimit(s.Limit())
	candidate.SetLoad(s.Load())
	candidate.SetLatency(s.MeanLatency())
	candidate.SetSameZone(s.OwnerZone() == zone)
	if local, ok := l.Loads().Find(s.Name()); ok && local.ReportedLimit() > 0 && now-local.ReportedAt() < localLoadTTL {
		candidate.SetLimit(local.ReportedLimit())
		candidate.SetLoad(max(local.ReportedLoad(), local.Outstanding()))
		candidate.SetLatency(local.MeanLatency())
	}
	if candidate.Latency() == 0 {
		candidate.SetLatency(defaultLatency)
	}
	sel.candidates = append(sel.candidates, candidate)
	sel.servers = append(sel.servers, s.Name())
}

// AddRequest adds a shard request to the tables and schedules it to be sent.
func (*Selector) AddRequest(l *lane.Lane, id lagoon.RowID, q *query.Row, shard int, s *srvvw.Row, hedge bool) {
	reqID, req := l.ShardRequests().Add("")
	req.SetQuery(id)
	req.SetShardIndex(shard)
	req.SetServer(s.Name())
	req.SetOwner(s.Owner())
	req.SetHedge(hedge)
	if !s.Owned() && !l.Unlimited() {
		req.SetOwnerAddr(s.OwnerAddr())
	}
	q.SetRequests(append(q.Requests(), reqID))
	q.Attempts()[shard]++
	q.Inflight()[shard]++
	load := l.Loads().Ensure(s.Name())
	load.SetOutstanding(load.Outstanding() + 1)
	l.ScheduleSend(reqID)
}
