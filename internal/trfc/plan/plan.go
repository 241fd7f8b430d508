// Package plan chooses the snapshot of a query and a server for each shard.
//
// # Usage
//
//	systems = append(systems, &plan.System{})
//
// It reads the view and the loads; it writes queries, legs and the budgets of
// the service table.
package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/svcvw"
	"github.com/lagoontrail/lagoon/internal/trfc/route"
	"github.com/lagoontrail/lagoon/pkg/snap"
)

// retryPercent bounds the requests sent again, in percent of all.
const retryPercent = 10

// System plans queries. The zero value works; it keeps buffers.
type System struct {
	snaps   snap.Chooser
	servers route.Chooser
	text    strings.Builder
}

// Name returns the system's name.
func (*System) Name() string { return "plan" }

// Run plans the queries listed in this tick.
func (s *System) Run(l *lane.Lane, _ time.Duration) {
	for _, id := range l.ToPlan() {
		if q, ok := l.Queries().Resolve(id); ok {
			s.plan(l, id, q)
		}
	}
}

func (s *System) plan(l *lane.Lane, id lagoon.RowID, q *qrys.Row) {
	svc, ok := l.View().Service(q.Query().Service())
	if !ok {
		end(l, id, q, "the service was removed")
		return
	}
	reset(q, l, svc)
	s.chooseSnapshot(l, q, svc)
	if q.Snapshot() == 0 && !l.FanOut() {
		end(l, id, q, "no usable server holds a snapshot of shard map "+fmt.Sprint(svc.MapVersion()))
		return
	}
	q.SetState(qrys.Running)
	s.text.Reset()
	for shard := range q.Shards() {
		s.start(l, id, q, shard)
	}
	state := l.Services().Ensure(q.Query().Service())
	state.HedgesRef().Earn(len(q.Legs()), svc.Rule().HedgePercent())
	state.RetriesRef().Earn(len(q.Legs()), retryPercent)
	if q.Open() == 0 {
		q.SetState(qrys.Ended)
		l.Finish(id)
	}
	l.Note("query_routed", q.Query().Service(), q.Query().ID(),
		fmt.Sprintf("snapshot %d.%d, servers%s: least expected wait among usable replicas", q.Snapshot().Map(), q.Snapshot().Index(), s.text.String()))
}

// reset gives the query the columns of the current shard map.
func reset(q *qrys.Row, l *lane.Lane, svc *svcvw.Row) {
	n := len(svc.Shards())
	q.SetShards(svc.Shards())
	q.SetParts(make([][]byte, n))
	q.SetDone(make([]bool, n))
	q.SetReasons(make([]string, n))
	q.SetTries(make([]int, n))
	q.SetRunning(make([]int, n))
	q.SetGroups(make([][]string, n))
	q.SetOpen(n)
	q.SetCovered(0)
	q.SetSnapshot(0)
	servers := l.View().Servers()
	for i, g := range svc.GroupOf() {
		names := make([]string, 0, len(svc.Groups()[g]))
		for _, pos := range svc.Groups()[g] {
			names = append(names, servers[pos].Name())
		}
		q.Groups()[i] = names
	}
}

// chooseSnapshot picks the snapshot that covers the most shards of the map.
func (s *System) chooseSnapshot(l *lane.Lane, q *qrys.Row, svc *svcvw.Row) {
	servers := l.View().Servers()
	var held []lagoon.Snapshot
	s.snaps.Reset()
	for _, g := range svc.GroupOf() {
		s.snaps.NextShard()
		for _, pos := range svc.Groups()[g] {
			if !servers[pos].Usable() {
				continue
			}
			held = usableSnapshots(held[:0], servers[pos].Snapshots(), svc.MapVersion(), q.Avoid())
			s.snaps.Add(held)
		}
	}
	best, _ := s.snaps.Best()
	q.SetSnapshot(best)
}

func usableSnapshots(out, held []lagoon.Snapshot, mapVersion uint64, avoid []lagoon.Snapshot) []lagoon.Snapshot {
	for _, h := range held {
		if h.Map() == mapVersion && !slices.Contains(avoid, h) {
			out = append(out, h)
		}
	}
	return out
}

// start sends the first leg for a shard, or gives the shard up with a reason.
func (s *System) start(l *lane.Lane, id lagoon.RowID, q *qrys.Row, shard int) {
	server, ok := s.servers.Choose(l, q, shard)
	if !ok {
		q.Done()[shard] = true
		q.Reasons()[shard] = s.why(l, q, shard)
		q.SetOpen(q.Open() - 1)
		return
	}
	fmt.Fprintf(&s.text, " %d:%s@%s", q.Shards()[shard], server.Name(), server.Owner())
	s.servers.Start(l, id, q, shard, server, false)
}

// why names what keeps each replica of a shard from being used.
func (*System) why(l *lane.Lane, q *qrys.Row, shard int) string {
	var parts []string
	for _, name := range q.Groups()[shard] {
		reason := "not_declared"
		if v, ok := l.View().Server(name); ok {
			reason = v.Blocked()
		}
		if reason == "" {
			reason = "lacks_snapshot"
		}
		parts = append(parts, name+" "+reason)
	}
	if len(parts) == 0 {
		return "the shard's group has no server"
	}
	return "no usable replica: " + strings.Join(parts, ", ")
}

// end refuses a query of which nothing was sent in this plan.
func end(l *lane.Lane, id lagoon.RowID, q *qrys.Row, reason string) {
	q.SetState(qrys.Ended)
	q.SetReason(reason)
	l.Finish(id)
}
