package lane_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/clocks"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/srvvw"
	"github.com/lagoontrail/lagoon/internal/svcvw"
	"github.com/lagoontrail/lagoon/internal/trfc"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/pick"
	"github.com/lagoontrail/lagoon/pkg/ramp"
)

// instant answers every request at once.
type instant struct{}

func (instant) Send(context.Context, lagoon.Call) lagoon.Reply {
	var r lagoon.Reply
	r.SetStatus(lagoon.StatusOK)
	r.SetBody([]byte("x"))
	return r
}

func (instant) Probe(context.Context, string) (lagoon.Report, error) { return lagoon.Report{}, nil }

type noLink struct{}

func (noLink) Send(string, lagoon.Message) bool { return false }

// viewOf returns a view with one service of a number of groups of three servers,
// all owned by this node.
func viewOf(groups int) *view.View {
	v := &view.View{}
	v.SetSelf("n")
	v.SetStart(1)
	v.SetLeaseUntil(time.Hour)
	var servers []srvvw.Row
	var svc svcvw.Row
	svc.SetName("s")
	svc.SetMapVersion(1)
	index := map[string]int{}
	for g := range groups {
		var group []int
		for r := range 3 {
			var s srvvw.Row
			s.SetName(fmt.Sprintf("s-%d-%d", g, r))
			s.SetService("s")
			s.SetOwner("n")
			s.SetOwnerLive(true)
			s.SetMine(true)
			s.SetActing(true)
			s.SetUp(true)
			s.SetSlots(64)
			s.SetSnapshots([]lagoon.Snapshot{lagoon.NewSnapshot(1, 1)})
			index[s.Name()] = len(servers)
			group = append(group, len(servers))
			servers = append(servers, s)
		}
		svc.SetGroups(append(svc.Groups(), group))
		svc.SetGroupOf(append(svc.GroupOf(), g))
		svc.SetShards(append(svc.Shards(), uint32(g)))
	}
	v.SetServers(servers)
	v.SetIndex(index)
	v.SetServices([]svcvw.Row{svc})
	v.SetSvcIndex(map[string]int{"s": 0})
	return v
}

// BenchmarkLane measures the lane alone: planning, owning and gathering, with
// servers that answer at once and no network.
func BenchmarkLane(b *testing.B) {
	for _, shards := range []int{1, 10, 50, 350} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			box := mbox.New(4096)
			l, stop := lane.New(box)
			var current atomic.Pointer[view.View]
			current.Store(viewOf(shards))
			l.SetSiblings([]*mbox.Box{box})
			l.SetControl(mbox.New(64))
			l.SetClock(clocks.New())
			l.SetCurrent(&current)
			l.SetUpstream(instant{})
			l.SetLink(noLink{})
			l.SetPicker(pick.Policy{})
			l.SetHedger(hedge.Policy{})
			l.SetRamper(ramp.Policy{})
			l.SetSystems(trfc.Systems())
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = l.Run(ctx) }()
			defer stop()
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				reply := make(chan lagoon.Answer, 1)
				var q lagoon.Query
				q.SetService("s")
				q.SetIdempotent(true)
				q.SetTimeout(10 * time.Second)
				row := &qrys.Row{}
				row.SetQuery(q)
				row.SetReply(reply)
				if err := box.Post(ctx, row); err != nil {
					b.Fatal(err)
				}
				if a := <-reply; a.Outcome() != lagoon.OutcomeAnswered {
					b.Fatalf("got %v (%s), want answered", a.Outcome(), a.Reason())
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*shards), "us/leg")
		})
	}
}
