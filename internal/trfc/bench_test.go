package trfc_test

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
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/trfc"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/pick"
	"github.com/lagoontrail/lagoon/pkg/ramp"
)

// instant is an upstream that answers every request immediately.
type instant struct{}

func (instant) Send(context.Context, lagoon.Call) lagoon.Reply {
	var r lagoon.Reply
	r.SetStatus(lagoon.StatusOK)
	r.SetBody([]byte("x"))
	return r
}

func (instant) Probe(context.Context, string) (lagoon.Report, error) { return lagoon.Report{}, nil }

// BenchmarkLane measures a lane that both serves the queries and owns the servers,
// without a network and with servers that answer immediately.
func BenchmarkLane(b *testing.B) {
	for _, shards := range []int{1, 10, 50, 350} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			box := mbox.New(4096)
			l, stop := lane.New(box)
			var publishedView atomic.Pointer[view.View]
			publishedView.Store(newView(shards, 64))
			l.SetMailboxes([]*mbox.Mailbox{box})
			l.SetControl(mbox.New(64))
			l.SetClock(clocks.New())
			l.SetPublishedView(&publishedView)
			l.SetUpstream(instant{})
			l.SetLink(disconnectedLink{})
			l.SetPicker(pick.Policy{})
			l.SetHedgePolicy(hedge.Policy{})
			l.SetRampPolicy(ramp.Policy{})
			l.SetSystems(trfc.Systems())
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = l.Run(ctx) }()
			defer stop()
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				reply := make(chan lagoon.Answer, 1)
				var q lagoon.Query
				q.SetService("desk")
				q.SetIdempotent(true)
				q.SetTimeout(10 * time.Second)
				row := &query.Row{}
				row.SetQuery(q)
				row.SetAnswerChan(reply)
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
