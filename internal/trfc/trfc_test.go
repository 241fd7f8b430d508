package trfc_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/clocks"
	"github.com/lagoontrail/lagoon/internal/lane"
	"github.com/lagoontrail/lagoon/internal/mbox"
	"github.com/lagoontrail/lagoon/internal/query"
	"github.com/lagoontrail/lagoon/internal/srvvw"
	"github.com/lagoontrail/lagoon/internal/svcvw"
	"github.com/lagoontrail/lagoon/internal/trfc"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/pick"
	"github.com/lagoontrail/lagoon/pkg/ramp"
)

// stub is a scripted upstream: the n-th call for a shard returns the n-th status
// of the script, and every later call the last one.
type stub struct {
	mu         sync.Mutex
	script     []lagoon.Status
	calls      map[uint32]int
	running    map[string]int
	maxRunning int
	delay      time.Duration
}

func (s *stub) Send(ctx context.Context, c lagoon.Call) lagoon.Reply {
	s.mu.Lock()
	n := s.calls[c.Shard()]
	s.calls[c.Shard()]++
	s.running[c.Addr()]++
	s.maxRunning = max(s.maxRunning, s.running[c.Addr()])
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[c.Addr()]--
	var r lagoon.Reply
	r.SetStatus(s.script[min(n, len(s.script)-1)])
	r.SetBody([]byte(fmt.Sprintf("shard %d of %d", c.Shard(), c.Snapshot().IndexVersion())))
	return r
}

func (*stub) Probe(context.Context, string) (lagoon.Report, error) { return lagoon.Report{}, nil }

type disconnectedLink struct{}

func (disconnectedLink) Send(string, lagoon.Message) bool { return false }

// twoShardView returns a view of two shards after applying change.
func twoShardView(change func(v *view.View)) *view.View {
	v := newView(2, 4)
	if change != nil {
		change(v)
	}
	return v
}

// newView returns a view of a service with three replicas per shard, which hold index
// versions 1 and 2.
func newView(shards, slots int) *view.View {
	v := &view.View{}
	v.SetSelf("n")
	v.SetStartID(1)
	v.SetLeaseUntil(time.Hour)
	var list []srvvw.Row
	var svc svcvw.Row
	svc.SetName("desk")
	svc.SetMapVersion(1)
	index := map[string]int{}
	for g := range shards {
		var group []int
		for r := range 3 {
			var s srvvw.Row
			s.SetName(fmt.Sprintf("s-%d-%d", g, r))
			s.SetAddr(s.Name())
			s.SetService("desk")
			s.SetOwner("n")
			s.SetOwnerLive(true)
			s.SetOwned(true)
			s.SetSendAllowed(true)
			s.SetUp(true)
			s.SetSlots(slots)
			s.SetSnapshots([]lagoon.Snapshot{lagoon.NewSnapshot(1, 1), lagoon.NewSnapshot(1, 2)})
			index[s.Name()] = len(list)
			group = append(group, len(list))
			list = append(list, s)
		}
		svc.SetGroups(append(svc.Groups(), group))
		svc.SetGroupIndex(append(svc.GroupIndex(), g))
		svc.SetShards(append(svc.Shards(), uint32(g)))
	}
	var rule lagoon.Rule
	rule.SetHedgePercent(4)
	rule.SetDeadlineMilli(300)
	svc.SetRule(rule)
	v.SetServers(list)
	v.SetServerIndex(index)
	v.SetServices([]svcvw.Row{svc})
	v.SetServiceIndex(map[string]int{"desk": 0})
	v.SetClaimKeepers(make([]string, 16))
	return v
}

// testLane is a running lane with fake dependencies.
type testLane struct {
	box           *mbox.Mailbox
	control       *mbox.Mailbox
	upstream      *stub
	publishedView atomic.Pointer[view.View]
}

func startLane(t *testing.T, v *view.View, script ...lagoon.Status) *testLane {
	t.Helper()
	s := &testLane{box: mbox.New(256), control: mbox.New(256)}
	s.upstream = &stub{script: script, calls: map[uint32]int{}, running: map[string]int{}, delay: 2 * time.Millisecond}
	s.publishedView.Store(v)
	l, stop := lane.New(s.box)
	l.SetMailboxes([]*mbox.Mailbox{s.box})
	l.SetControl(s.control)
	l.SetClock(clocks.New())
	l.SetPublishedView(&s.publishedView)
	l.SetUpstream(s.upstream)
	l.SetLink(disconnectedLink{})
	l.SetPicker(pick.Policy{})
	l.SetHedgePolicy(hedge.Policy{})
	l.SetRampPolicy(ramp.Policy{})
	l.SetSystems(trfc.Systems())
	ctx, cancel := context.WithCancel(context.Background())
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
	return s
}

func (s *testLane) post(t *testing.T, q lagoon.Query) <-chan lagoon.Answer {
	t.Helper()
	reply := make(chan lagoon.Answer, 1)
	row := &query.Row{}
	row.SetQuery(q)
	row.SetAnswerChan(reply)
	if !s.box.TryPost(row) {
		t.Fatal("the lane's mailbox is full")
	}
	return reply
}

func newQuery(service string, change func(q *lagoon.Query)) lagoon.Query {
	var q lagoon.Query
	q.SetID("1-a")
	q.SetService(service)
	q.SetIdempotent(true)
	if change != nil {
		change(&q)
	}
	return q
}

func TestOutcomes(t *testing.T) {
	write := func(first bool) func(q *lagoon.Query) {
		return func(q *lagoon.Query) {
			q.SetIdempotent(false)
			q.SetNeverSent(first)
			q.SetID(fmt.Sprintf("%d-a", time.Now().UnixMilli()))
		}
	}
	cases := map[string]struct {
		view   func(v *view.View)
		query  func(q *lagoon.Query)
		script []lagoon.Status
		want   lagoon.Outcome
		reason string
		calls  int // to shard 0
		index  uint64
	}{
		"all shards answer":             {script: []lagoon.Status{lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 1, index: 2},
		"a refusal is retried":          {script: []lagoon.Status{lagoon.StatusRefused, lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 2, index: 2},
		"a lost read is retried":        {script: []lagoon.Status{lagoon.StatusUnknown, lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 2, index: 2},
		"no replica answers":            {script: []lagoon.Status{lagoon.StatusUnknown}, want: lagoon.OutcomePartial, calls: 3, index: 2},
		"every replica refuses":         {script: []lagoon.Status{lagoon.StatusRefused}, want: lagoon.OutcomeNotRun, calls: 3, index: 2},
		"the snapshot is gone":          {script: []lagoon.Status{lagoon.StatusSnapshotGone, lagoon.StatusSnapshotGone, lagoon.StatusSnapshotGone, lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 4, index: 1},
		"no lease":                      {view: func(v *view.View) { v.SetLeaseUntil(0) }, want: lagoon.OutcomeNotRun, reason: "majority"},
		"stopping":                      {view: func(v *view.View) { v.SetRefusing(true) }, want: lagoon.OutcomeNotRun, reason: "stopping"},
		"an unknown service":            {query: func(q *lagoon.Query) { q.SetService("nothing") }, want: lagoon.OutcomeInvalid, reason: "not declared"},
		"a write with an expired id":    {query: func(q *lagoon.Query) { q.SetIdempotent(false) }, want: lagoon.OutcomeUnknown, reason: "older"},
		"a first write without a claim": {query: write(true), want: lagoon.OutcomeNotRun, reason: "claim"},
		"a retried write without one":   {query: write(false), want: lagoon.OutcomeUnknown, reason: "earlier attempt"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if len(c.script) == 0 {
				c.script = []lagoon.Status{lagoon.StatusOK}
			}
			s := startLane(t, twoShardView(c.view), c.script...)
			a := <-s.answerClaims(t, s.post(t, newQuery("desk", c.query)))
			if a.Outcome() != c.want || !strings.Contains(a.Reason(), c.reason) {
				t.Errorf("got %v (%s), want %v with %q", a.Outcome(), a.Reason(), c.want, c.reason)
			}
			s.upstream.mu.Lock()
			defer s.upstream.mu.Unlock()
			if got := s.upstream.calls[0]; got != c.calls {
				t.Errorf("calls to shard 0: got %d, want %d", got, c.calls)
			}
			if got := a.Snapshot().IndexVersion(); got != c.index {
				t.Errorf("index version: got %d, want %d", got, c.index)
			}
		})
	}
}

// answerClaims answers the claim requests like a keeper that cannot reach the
// platform. Request IDs that start with "1-" are older than the claims it keeps.
func (s *testLane) answerClaims(t *testing.T, reply <-chan lagoon.Answer) <-chan lagoon.Answer {
	go func() {
		for _, m := range s.control.Wait(t.Context(), 200*time.Millisecond, nil) {
			req, ok := m.(*lagoon.ClaimRequest)
			if !ok || req.Void() {
				continue
			}
			resp := &lagoon.ClaimResponse{}
			resp.SetQueryID(req.QueryID())
			resp.SetAttempt(req.Attempt())
			resp.SetOutcome(lagoon.ClaimUnavailable)
			if strings.HasPrefix(req.RequestID(), "1-") {
				resp.SetOutcome(lagoon.ClaimExpired)
			}
			s.box.TryPost(resp)
		}
	}()
	return reply
}

// Guards against more concurrent requests to a server than its limit, which starts
// at 1 and never exceeds its 4 slots, when many queries arrive concurrently.
func TestLimitHoldsUnderABurst(t *testing.T) {
	s := startLane(t, twoShardView(nil), lagoon.StatusOK)
	var replies []<-chan lagoon.Answer
	for range 25 {
		replies = append(replies, s.post(t, newQuery("desk", nil)))
	}
	for _, r := range replies {
		<-r
	}
	s.upstream.mu.Lock()
	defer s.upstream.mu.Unlock()
	if got, want := s.upstream.maxRunning, 4; got > want {
		t.Errorf("concurrent requests to one server: got %d, want at most %d", got, want)
	}
}

// Guards against requests sent after the lease has expired while jobs were queued.
func TestNoRequestAfterLeaseExpiry(t *testing.T) {
	s := startLane(t, twoShardView(func(v *view.View) { v.SetLeaseUntil(clocks.New().Now() + 60*time.Millisecond) }), lagoon.StatusOK)
	s.upstream.delay = 30 * time.Millisecond
	var replies []<-chan lagoon.Answer
	for range 20 {
		replies = append(replies, s.post(t, newQuery("desk", nil)))
	}
	for _, r := range replies {
		<-r
	}
	s.upstream.mu.Lock()
	defer s.upstream.mu.Unlock()
	// 3 replicas with one request of 30 ms at a time, within a lease of 60 ms.
	if got, want := s.upstream.calls[0], 9; got > want {
		t.Errorf("calls to shard 0: got %d, want at most %d before the lease ended", got, want)
	}
}
