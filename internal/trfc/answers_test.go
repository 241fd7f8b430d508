package trfc_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
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

// newEntryLane returns a lane of a node that owns no server; the node o, at another address,
// owns all.
func newEntryLane(t *testing.T, change func(v *view.View)) *tickedLane {
	t.Helper()
	return newTickedLane(t, twoShardView(func(v *view.View) {
		v.SetServers(slices.Clone(v.Servers()))
		for i := range v.Servers() {
			s := &v.Servers()[i]
			s.SetOwned(false)
			s.SetOwner("o")
			s.SetOwnerAddr("o:1")
		}
		if change != nil {
			change(v)
		}
	}))
}

// start starts a query and returns the channel of its answer and the requests that were sent.
func (l *tickedLane) start(change func(q *lagoon.Query)) (<-chan lagoon.Answer, []lagoon.ShardRequest) {
	answers := make(chan lagoon.Answer, 1)
	row := &query.Row{}
	row.SetQuery(newQuery("desk", func(q *lagoon.Query) {
		q.SetTimeout(time.Minute)
		if change != nil {
			change(q)
		}
	}))
	row.SetAnswerChan(answers)
	l.Tick([]any{row})
	return answers, l.takeRequests()
}

// takeRequests returns the shard requests sent since the last call, by shard.
func (l *tickedLane) takeRequests() []lagoon.ShardRequest {
	var out []lagoon.ShardRequest
	for _, m := range l.link.sent {
		if b, ok := m.(*lagoon.ShardRequestBatch); ok {
			out = append(out, b.Requests()...)
		}
	}
	l.link.sent = nil
	slices.SortFunc(out, func(a, b lagoon.ShardRequest) int { return cmp.Compare(a.Shard(), b.Shard()) })
	return out
}

// respond delivers a response to a request of a run of the node.
func (l *tickedLane) respond(startID uint64, id uint64, status lagoon.Status, body string) {
	var r lagoon.ShardResponse
	r.SetID(id)
	r.SetStatus(status)
	r.SetBody([]byte(body))
	m := &lagoon.ShardResponseBatch{}
	m.SetStartID(startID)
	m.SetResponses([]lagoon.ShardResponse{r})
	l.Tick([]any{m})
}

// wantAnswer checks that a query was answered with a part for each shard.
func wantAnswer(t *testing.T, answers <-chan lagoon.Answer, want ...string) {
	t.Helper()
	select {
	case a := <-answers:
		var got []string
		for _, p := range a.Parts() {
			got = append(got, string(p.Body()))
		}
		if !slices.Equal(got, want) {
			t.Errorf("parts: got %q (%v, %s), want %q", got, a.Outcome(), a.Reason(), want)
		}
	default:
		t.Error("the query was not answered")
	}
}

// Guards against a response to a request of an earlier run of the entry node, which had the
// same address and the same row IDs.
func TestResponseToAnEarlierRunIsIgnored(t *testing.T) {
	l := newEntryLane(t, nil)
	answers, sent := l.start(nil)
	l.respond(9, sent[0].ID(), lagoon.StatusOK, "of the earlier run")
	l.respond(1, sent[0].ID(), lagoon.StatusOK, "0")
	l.respond(1, sent[1].ID(), lagoon.StatusOK, "1")
	wantAnswer(t, answers, "0", "1")
}

// Guards against a late response to an earlier query, whose rows were in the same slots.
func TestLateResponseToAnEarlierQueryIsIgnored(t *testing.T) {
	l := newEntryLane(t, nil)
	answers, earlier := l.start(func(q *lagoon.Query) { q.SetTimeout(time.Second) })
	l.clock.now += 2 * time.Second
	l.Tick(nil)
	wantAnswer(t, answers)
	l.takeRequests()
	answers, sent := l.start(nil)
	for i := range sent {
		if got, want := lagoon.RowID(earlier[i].ID()).Slot(), lagoon.RowID(sent[1-i].ID()).Slot(); got != want {
			t.Fatalf("slot: got %d, want %d, that of the earlier query", got, want)
		}
		l.respond(1, earlier[i].ID(), lagoon.StatusOK, "of the earlier query")
	}
	l.respond(1, sent[0].ID(), lagoon.StatusOK, "0")
	l.respond(1, sent[1].ID(), lagoon.StatusOK, "1")
	wantAnswer(t, answers, "0", "1")
}

// Guards against a repeated response: a second refusal would end the attempt that followed the
// first, and a second response would replace the one that was counted.
func TestRepeatedResponseIsIgnored(t *testing.T) {
	l := newEntryLane(t, nil)
	answers, sent := l.start(nil)
	l.respond(1, sent[0].ID(), lagoon.StatusNotSent, "")
	retried := l.takeRequests()
	if got, want := len(retried), 1; got != want {
		t.Fatalf("requests after a response that it was not sent: got %d, want %d", got, want)
	}
	l.respond(1, sent[0].ID(), lagoon.StatusNotSent, "")
	l.respond(1, sent[0].ID(), lagoon.StatusOK, "of the first attempt")
	if got, want := len(l.takeRequests()), 0; got != want {
		t.Errorf("requests after a repeated response: got %d, want %d", got, want)
	}
	l.respond(1, retried[0].ID(), lagoon.StatusOK, "0")
	l.respond(1, retried[0].ID(), lagoon.StatusOK, "0 again")
	l.respond(1, sent[1].ID(), lagoon.StatusOK, "1")
	wantAnswer(t, answers, "0", "1")
}

// Guards against the late response of the attempt that lost against a hedge: it must not
// replace the part of the one that won, nor count for the shard a second time.
func TestLateResponseAfterHedgeIsIgnored(t *testing.T) {
	l := newEntryLane(t, nil)
	l.SetHedgePolicy(hedgeAll{})
	answers, sent := l.start(nil)
	l.clock.now += 100 * time.Millisecond
	l.Tick(nil)
	hedges := l.takeRequests()
	if got, want := len(hedges), 1; got < want {
		t.Fatalf("hedges: got %d, want at least %d", got, want)
	}
	shard := hedges[0].Shard()
	l.respond(1, hedges[0].ID(), lagoon.StatusOK, fmt.Sprint(shard))
	l.respond(1, sent[shard].ID(), lagoon.StatusOK, "of the slow attempt")
	l.respond(1, sent[1-shard].ID(), lagoon.StatusOK, fmt.Sprint(1-shard))
	wantAnswer(t, answers, "0", "1")
}

// hedgeAll is a policy that hedges each request that is due.
type hedgeAll struct{}

func (hedgeAll) Hedge(lagoon.HedgeView) (bool, time.Duration) { return true, 0 }

// Guards against the response of an attempt for a snapshot that is gone, which arrives after the
// query was sent again, for another snapshot, to the same servers.
func TestResponseForAnEarlierSnapshotIsIgnored(t *testing.T) {
	l := newEntryLane(t, nil)
	answers, sent := l.start(nil)
	earlier := slices.Clone(sent)
	for len(sent) > 0 && len(earlier) < 5 {
		l.respond(1, sent[0].ID(), lagoon.StatusSnapshotGone, "")
		sent = l.takeRequests()
		earlier = append(earlier, sent...)
	}
	if got, want := len(sent), 2; got != want {
		t.Fatalf("requests after the query was planned again: got %d, want %d", got, want)
	}
	for _, req := range earlier[:len(earlier)-2] {
		l.respond(1, req.ID(), lagoon.StatusOK, "of the earlier snapshot")
	}
	l.respond(1, sent[0].ID(), lagoon.StatusOK, "0")
	l.respond(1, sent[1].ID(), lagoon.StatusOK, "1")
	wantAnswer(t, answers, "0", "1")
}

// Guards against a claim that was granted to an earlier run of the node, or to another query,
// and lets a query run that has none.
func TestClaimResponseToAnotherQueryIsIgnored(t *testing.T) {
	l := newEntryLane(t, nil)
	_, sent := l.start(func(q *lagoon.Query) {
		q.SetIdempotent(false)
		q.SetID(fmt.Sprintf("%d-a", l.clock.Wall().UnixMilli()))
	})
	if got, want := len(sent), 0; got != want {
		t.Fatalf("requests before a claim: got %d, want %d", got, want)
	}
	var claim *lagoon.ClaimRequest
	for _, m := range l.control.Wait(t.Context(), time.Second, nil) {
		if c, ok := m.(*lagoon.ClaimRequest); ok {
			claim = c
		}
	}
	if claim == nil {
		t.Fatal("no claim was requested")
	}
	cases := []struct {
		name           string
		query, attempt uint64
		want           int
	}{
		{"an earlier run", claim.QueryID(), claim.Attempt() + 1, 0},
		{"an earlier query", claim.QueryID() - 1<<32, claim.Attempt(), 0},
		{"the query", claim.QueryID(), claim.Attempt(), 2},
		{"the query again", claim.QueryID(), claim.Attempt(), 0},
	}
	for _, c := range cases {
		m := &lagoon.ClaimResponse{}
		m.SetQueryID(c.query)
		m.SetAttempt(c.attempt)
		m.SetOutcome(lagoon.ClaimGranted)
		l.Tick([]any{m})
		if got := len(l.takeRequests()); got != c.want {
			t.Errorf("requests after the claim of %s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against responses of one tick that go together although they are for different lanes
// or runs of a node, where the same IDs name other requests.
func TestResponsesAreSentToTheirLaneAndRun(t *testing.T) {
	l := newTickedLane(t, twoShardView(func(v *view.View) {
		v.SetPeerAddrs(map[string]string{"e": "e:1"})
	}))
	type target struct {
		startID uint64
		lane    int
	}
	want := []target{{7, 0}, {7, 1}, {8, 1}}
	var items []any
	for i, to := range want {
		items = append(items, newOwnerBatch(to.startID, to.lane, uint64(i), "undeclared"))
	}
	l.Tick(items)
	var got []target
	for _, m := range l.link.sent {
		b := m.(*lagoon.ShardResponseBatch)
		for _, r := range b.Responses() {
			if r.ID() != uint64(len(got)) {
				t.Errorf("response %d: got ID %d, want %d", len(got), r.ID(), len(got))
			}
			got = append(got, target{b.StartID(), b.Lane()})
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against the response to a node that this one does not know, which has no address to send
// it to, as the response to a request of this node with the same ID.
func TestResponseToAnUnknownNodeIsNotForThisNode(t *testing.T) {
	l := newEntryLane(t, nil)
	answers, sent := l.start(nil)
	l.Tick([]any{newOwnerBatch(7, 0, sent[0].ID(), "undeclared")})
	l.Tick(nil)
	if got, want := len(l.takeRequests()), 0; got != want {
		t.Errorf("requests that are repeated: got %d, want %d", got, want)
	}
	l.respond(1, sent[0].ID(), lagoon.StatusOK, "0")
	l.respond(1, sent[1].ID(), lagoon.StatusOK, "1")
	wantAnswer(t, answers, "0", "1")
}
