package choose_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/choose"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/pkg/cost"
	"github.com/lagoontrail/lagoon/pkg/score"
)

// fixedClock is a lagoon.Clock that stands still.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Minute }
func (fixedClock) Wall() time.Time    { return time.Unix(60, 0) }

// newChoice returns what a choice among servers of a known speed needs.
func newChoice(tb testing.TB, servers int) (*loop.Loop, *shards.Row, *reqs.Row) {
	l, stop := loop.New(mbox.New(16))
	tb.Cleanup(stop)
	v := &view.View{}
	var replicas []lagoon.Replica
	for i := range servers {
		var r lagoon.Replica
		r.SetID(fmt.Sprint("i-", i))
		r.SetService("archive")
		r.SetZone(string(rune('a' + i%3)))
		r.SetSlots(4)
		replicas = append(replicas, r)
	}
	v.SetServersByService(map[string][]lagoon.Replica{"archive": replicas})
	var published atomic.Pointer[view.View]
	published.Store(v)
	l.SetClock(fixedClock{})
	l.SetPublishedView(&published)
	l.SetView(v)
	l.SetReplicaPolicy(score.Policy{})
	model := cost.New()
	l.SetCostModel(model)
	var route lagoon.Route
	route.SetName("look")
	route.SetObjective(150 * time.Millisecond)
	route.SetMaxAttempts(2)
	req, shard := &reqs.Row{}, &shards.Row{}
	req.SetRoute(&route)
	req.SetView(v)
	req.SetCallerStart(time.Minute)
	req.SetDeadline(time.Minute + time.Second)
	shard.SetService("archive")
	var key lagoon.CostKey
	key.SetRoute("look")
	key.SetService("archive")
	model.Observe(key, 20*time.Millisecond, true, time.Minute)
	for i := range replicas {
		h := choose.HealthOf(l, &replicas[i])
		h.SetSlowdown(1)
		h.SetReportedAt(time.Minute)
	}
	return l, shard, req
}

// Guards against garbage for each attempt of each request: a choice does not allocate.
func TestChoiceDoesNotAllocate(t *testing.T) {
	for _, servers := range []int{3, 30} {
		l, shard, req := newChoice(t, servers)
		if c := choose.Best(l, shard, req, time.Minute); !c.Found() {
			t.Fatalf("%d servers: got no server, want one", servers)
		} else if e := c.Estimate(); e.Slowdown() != 1 {
			t.Fatalf("%d servers: got a slowdown of %f, want 1", servers, e.Slowdown())
		}
		if got := testing.AllocsPerRun(100, func() { choose.Best(l, shard, req, time.Minute) }); got != 0 {
			t.Errorf("%d servers: got %.0f allocations, want none", servers, got)
		}
	}
}

// BenchmarkBest measures one choice.
func BenchmarkBest(b *testing.B) {
	for _, servers := range []int{3, 30} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			l, shard, req := newChoice(b, servers)
			b.ReportAllocs()
			for b.Loop() {
				choose.Best(l, shard, req, time.Minute)
			}
		})
	}
}
