// Package plan selects the snapshot of a query and a server for each shard.
//
// # Usage
//
//	systems = append(systems, &plan.System{})
//
// It reads the view and the loads; it writes queries, shard requests and the
// budgets of the service table.
package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/svcvw"
	"github.com/lagoontrail/lagoon/internal/trfc/route"
	"github.com/lagoontrail/lagoon/pkg/snap"
)

// retryBudgetPercent is the retry budget of a service, in percent of its requests.
const retryBudgetPercent = 10

// System plans queries. The zero value is ready to use.
type System struct {
	snaps    snap.Selector
	servers  route.Selector
	routeLog strings.Builder
}

// Name returns the system's name.
func (*System) Name() string { return "plan" }

// Run plans the queries scheduled in this tick.
func (s *System) Run(l *lane.Lane, _ time.Duration) {
	for _, id := range l.ToPlan() {
		if q, ok := l.Queries().Resolve(id); ok {
			s.plan(l, id, q)
		}
	}
}

func (s *System) plan(l *lane.Lane, id lagoon.RowID, q *query.Row) {
	svc, ok := l.View().Service(q.Query().Service())
	if !ok {
		refuse(l, id, q, "the service is no longer declared")
		return
	}
	resetQuery(q, l, svc)
	s.selectSnapshot(l, q, svc)
	if q.Snapshot() == 0 && !l.Unlimited() {
		refuse(l, id, q, "no usable server holds a snapshot of shard map "+fmt.Sprint(svc.MapVersion()))
		return
	}
	q.SetState(query.Running)
	s.routeLog.Reset()
	for shard := range q.Shards() {
		s.startShard(l, id, q, shard)
	}
	state := l.Services().Ensure(q.Query().Service())
	state.HedgeBudgetRef().Deposit(len(q.Requests()), svc.Rule().HedgePercent())
	state.RetryBudgetRef().Deposit(len(q.Requests()), retryBudgetPercent)
	if q.Unresolved() == 0 {
		q.SetState(query.Ended)
		l.ScheduleFinish(id)
	}
	l.Record("query_routed", q.Query().Service(), q.Query().ID(),
		fmt.Sprintf("snapshot %d.%d, servers%s: least expected wait among usable replicas", q.Snapshot().MapVersion(), q.Snapshot().IndexVersion(), s.routeLog.String()))
}

// resetQuery sizes the per-shard columns of a query for the current shard map.
func resetQuery(q *query.Row, l *lane.Lane, svc *svcvw.Row) {
	n := len(svc.Shards())
	q.SetShards(svc.Shards())
	q.SetParts(make([][]byte, n))
	q.SetResolved(make([]bool, n))
	q.SetMissingReasons(make([]string, n))
	q.SetAttempts(make([]int, n))
	q.SetInflight(make([]int, n))
	q.SetGroups(make([][]string, n))
	q.SetUnresolved(n)
	q.SetCovered(0)
	q.SetSnapshot(0)
	servers := l.View().Servers()
	for i, g := range svc.GroupIndex() {
		names := make([]string, 0, len(svc.Groups()[g]))
		for _, pos := range svc.Groups()[g] {
			names = append(names, servers[pos].Name())
		}
		q.Groups()[i] = names
	}
}

// selectSnapshot selects the snapshot that covers the most shards of the map.
func (s *System) selectSnapshot(l *lane.Lane, q *query.Row, svc *svcvw.Row) {
	servers := l.View().Servers()
	var held []lagoon.Snapshot
	s.snaps.Reset()
	for _, g := range svc.GroupIndex() {
		s.snaps.NextShard()
		for _, pos := range svc.Groups()[g] {
			if !servers[pos].Usable() {
				continue
			}
			held = usableSnapshots(held[:0], servers[pos].Snapshots(), svc.MapVersion(), q.Excluded())
			s.snaps.Add(held)
		}
	}
	best, _ := s.snaps.Best()
	q.SetSnapshot(best)
}

func usableSnapshots(out, held []lagoon.Snapshot, mapVersion uint64, excluded []lagoon.Snapshot) []lagoon.Snapshot {
	for _, h := range held {
		if h.MapVersion() == mapVersion && !slices.Contains(excluded, h) {
			out = append(out, h)
		}
	}
	return out
}

// startShard schedules the first request for a shard, or abandons the shard if no
// replica is usable.
func (s *System) startShard(l *lane.Lane, id lagoon.RowID, q *query.Row, shard int) {
	server, ok := s.servers.Select(l, q, shard)
	if !ok {
		q.Resolved()[shard] = true
		q.MissingReasons()[shard] = s.unusableReplicas(l, q, shard)
		q.SetUnresolved(q.Unresolved() - 1)
		return
	}
	fmt.Fprintf(&s.routeLog, " %d:%s@%s", q.Shards()[shard], server.Name(), server.Owner())
	s.servers.AddRequest(l, id, q, shard, server, false)
}

// unusableReplicas returns why each replica of a shard is unusable.
func (*System) unusableReplicas(l *lane.Lane, q *query.Row, shard int) string {
	var reasons []string
	for _, name := range q.Groups()[shard] {
		reason := "not_declared"
		if v, ok := l.View().Server(name); ok {
			reason = v.UnusableReason()
		}
		if reason == "" {
			reason = "lacks_snapshot"
		}
		reasons = append(reasons, name+" "+reason)
	}
	if len(reasons) == 0 {
		return "the shard's group has no server"
	}
	return "no usable replica: " + strings.Join(reasons, ", ")
}

// refuse ends a query before this plan has sent any request.
func refuse(l *lane.Lane, id lagoon.RowID, q *query.Row, reason string) {
	q.SetState(query.Ended)
	q.SetReason(reason)
	l.ScheduleFinish(id)
}
