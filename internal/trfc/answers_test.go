package trfc_test

import (
	"context"
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

// manualClock stands still until a test moves it.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

func (*manualClock) Wall() time.Time { return time.UnixMilli(1_700_000_000_000) }

// recorder is a link that keeps the messages that are sent.
type recorder struct{ sent []lagoon.Message }

func (r *recorder) Send(_ string, m lagoon.Message) bool {
	r.sent = append(r.sent, m)
	return true
}

// silentUpstream is an upstream whose servers respond to nothing.
type silentUpstream struct{}

func (silentUpstream) Send(ctx context.Context, _ lagoon.Call) lagoon.Reply {
	<-ctx.Done()
	return lagoon.Reply{}
}

func (silentUpstream) Probe(context.Context, string) (lagoon.Report, error) {
	return lagoon.Report{}, nil
}

// tickedLane is a lane whose ticks a test runs.
type tickedLane struct {
	*lane.Lane
	clock   *manualClock
	link    *recorder
	control *mbox.Mailbox
}

func newTickedLane(t *testing.T, v *view.View) *tickedLane {
	t.Helper()
	box := mbox.New(256)
	l, stop := lane.New(box)
	t.Cleanup(stop)
	s := &tickedLane{Lane: l, clock: &manualClock{now: time.Second}, link: &recorder{}, control: mbox.New(256)}
	var published atomic.Pointer[view.View]
	published.Store(v)
	l.SetPublishedView(&published)
	l.SetMailboxes([]*mbox.Mailbox{box})
	l.SetControl(s.control)
	l.SetClock(s.clock)
	l.SetUpstream(silentUpstream{})
	l.SetLink(s.link)
	l.SetPicker(pick.Policy{})
	l.SetHedgePolicy(hedge.Policy{})
	l.SetRampPolicy(ramp.Policy{})
	l.SetSystems(trfc.Systems())
	return s
}

// newOwnerBatch returns a batch of a request with an ID, from a lane of the node e.
func newOwnerBatch(startID uint64, laneNumber int, id uint64, server string) *lagoon.ShardRequestBatch {
	var req lagoon.ShardRequest
	req.SetID(id)
	req.SetServer(server)
	b := &lagoon.ShardRequestBatch{}
	b.SetFrom("e")
	b.SetStartID(startID)
	b.SetLane(laneNumber)
	b.SetService("desk")
	b.SetTimeout(time.Minute)
	b.SetIdempotent(true)
	b.SetRequests([]lagoon.ShardRequest{req})
	return b
}

// newCancel returns the cancellation of a request by a lane of the node e.
func newCancel(from string, startID uint64, laneNumber int, id uint64) *lagoon.ShardRequestCancel {
	m := &lagoon.ShardRequestCancel{}
	m.SetFrom(from)
	m.SetStartID(startID)
	m.SetLane(laneNumber)
	m.SetHasLane(true)
	m.SetIDs([]uint64{id})
	return m
}

// Guards against a cancellation of one request that cancels another one with the same ID, of
// another lane, an earlier run or another node: its caller would get a failure that its
// server did not give.
func TestCancelOfAnotherRequestIsIgnored(t *testing.T) {
	withoutLane := newCancel("e", 7, 0, 5)
	withoutLane.SetHasLane(false)
	cases := map[string]struct {
		cancel *lagoon.ShardRequestCancel
		want   bool
	}{
		"the request":                       {newCancel("e", 7, 1, 5), true},
		"a node of an earlier release":      {withoutLane, true},
		"the same ID of another lane":       {newCancel("e", 7, 0, 5), false},
		"the same ID of an earlier run":     {newCancel("e", 6, 1, 5), false},
		"the same ID of another node":       {newCancel("f", 7, 1, 5), false},
		"the same ID of this node":          {newCancel("n", 7, 1, 5), false},
		"another ID of the lane":            {newCancel("e", 7, 1, 6), false},
		"the same slot, a later generation": {newCancel("e", 7, 1, 1<<32|5), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newTickedLane(t, twoShardView(func(v *view.View) {
				v.SetPeerAddrs(map[string]string{"e": "e:1", "f": "f:1"})
			}))
			l.Tick([]any{newOwnerBatch(7, 1, 5, "s-0-0")})
			l.Tick([]any{c.cancel})
			if got, want := l.Jobs().Len(), 1; got != want {
				t.Fatalf("jobs: got %d, want %d", got, want)
			}
			if got := l.Jobs().At(0).Canceled(); got != c.want {
				t.Errorf("canceled: got %t, want %t", got, c.want)
			}
		})
	}
}

// heldUpstream is an upstream whose servers respond once a test lets them.
type heldUpstream struct{ release chan struct{} }

func (u heldUpstream) Send(ctx context.Context, _ lagoon.Call) lagoon.Reply {
	var r lagoon.Reply
	select {
	case <-u.release:
		r.SetStatus(lagoon.StatusOK)
	case <-ctx.Done():
	}
	return r
}

func (heldUpstream) Probe(context.Context, string) (lagoon.Report, error) {
	return lagoon.Report{}, nil
}

// neverHedge is a policy without hedges.
type neverHedge struct{}

func (neverHedge) Hedge(lagoon.HedgeView) (bool, time.Duration) { return false, 0 }

// Guards against a query that ends early and takes the requests of another lane's query with
// it, which have the same IDs.
func TestQueryThatEndsCancelsNoOtherLanesRequests(t *testing.T) {
	boxes := []*mbox.Mailbox{mbox.New(256), mbox.New(256)}
	upstream := heldUpstream{make(chan struct{})}
	var published atomic.Pointer[view.View]
	published.Store(twoShardView(nil))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for number, box := range boxes {
		l, stop := lane.New(box)
		l.SetNumber(number)
		l.SetMailboxes(boxes)
		l.SetControl(mbox.New(256))
		l.SetClock(clocks.New())
		l.SetPublishedView(&published)
		l.SetUpstream(upstream)
		l.SetLink(disconnectedLink{})
		l.SetPicker(pick.Policy{})
		l.SetHedgePolicy(neverHedge{})
		l.SetRampPolicy(ramp.Policy{})
		l.SetSystems(trfc.Systems())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = l.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
			stop()
		})
	}
	answers := make([]chan lagoon.Answer, len(boxes))
	for i, timeout := range []time.Duration{20 * time.Millisecond, time.Minute} {
		answers[i] = make(chan lagoon.Answer, 1)
		row := &query.Row{}
		row.SetQuery(newQuery("desk", func(q *lagoon.Query) { q.SetTimeout(timeout) }))
		row.SetAnswerChan(answers[i])
		boxes[i].TryPost(row)
	}
	<-answers[0]
	time.Sleep(100 * time.Millisecond) // for the cancellations to take effect
	close(upstream.release)
	a := <-answers[1]
	if a.Outcome() != lagoon.OutcomeAnswered || a.Retries() != 0 {
		t.Errorf("the other lane's query: got %v after %d retries (%s), want answered after none", a.Outcome(), a.Retries(), a.Reason())
	}
}
