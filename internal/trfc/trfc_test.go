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
	"github.com/lagoontrail/lagoon/internal/qrys"
	"github.com/lagoontrail/lagoon/internal/srvvw"
	"github.com/lagoontrail/lagoon/internal/svcvw"
	"github.com/lagoontrail/lagoon/internal/trfc"
	"github.com/lagoontrail/lagoon/internal/view"
	"github.com/lagoontrail/lagoon/pkg/hedge"
	"github.com/lagoontrail/lagoon/pkg/pick"
	"github.com/lagoontrail/lagoon/pkg/ramp"
)

// servers answers calls by a script: the n-th call to a shard gets the n-th
// status, later ones the last.
type servers struct {
	mu      sync.Mutex
	script  []lagoon.Status
	calls   map[uint32]int
	running map[string]int
	most    int
	delay   time.Duration
}

func (s *servers) Send(ctx context.Context, c lagoon.Call) lagoon.Reply {
	s.mu.Lock()
	n := s.calls[c.Shard()]
	s.calls[c.Shard()]++
	s.running[c.Addr()]++
	s.most = max(s.most, s.running[c.Addr()])
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
	r.SetBody([]byte(fmt.Sprintf("shard %d of %d", c.Shard(), c.Snapshot().Index())))
	return r
}

func (*servers) Probe(context.Context, string) (lagoon.Report, error) { return lagoon.Report{}, nil }

type noLink struct{}

func (noLink) Send(string, lagoon.Message) bool { return false }

// twoShards returns a view of two shards, changed by a test.
func twoShards(change func(v *view.View)) *view.View {
	v := viewOf(2, 4)
	if change != nil {
		change(v)
	}
	return v
}

// viewOf returns a view of a number of shards with three replicas each, which
// hold index versions 1 and 2 and have a number of slots.
func viewOf(shards, slots int) *view.View {
	v := &view.View{}
	v.SetSelf("n")
	v.SetStart(1)
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
			s.SetMine(true)
			s.SetActing(true)
			s.SetUp(true)
			s.SetSlots(slots)
			s.SetSnapshots([]lagoon.Snapshot{lagoon.NewSnapshot(1, 1), lagoon.NewSnapshot(1, 2)})
			index[s.Name()] = len(list)
			group = append(group, len(list))
			list = append(list, s)
		}
		svc.SetGroups(append(svc.Groups(), group))
		svc.SetGroupOf(append(svc.GroupOf(), g))
		svc.SetShards(append(svc.Shards(), uint32(g)))
	}
	var rule lagoon.Rule
	rule.SetHedgePercent(4)
	rule.SetDeadlineMilli(300)
	svc.SetRule(rule)
	v.SetServers(list)
	v.SetIndex(index)
	v.SetServices([]svcvw.Row{svc})
	v.SetSvcIndex(map[string]int{"desk": 0})
	v.SetKeepers(make([]string, 16))
	return v
}

// setup is a lane with its stand-ins.
type setup struct {
	box     *mbox.Box
	control *mbox.Box
	servers *servers
	current atomic.Pointer[view.View]
}

func start(t *testing.T, v *view.View, script ...lagoon.Status) *setup {
	t.Helper()
	s := &setup{box: mbox.New(256), control: mbox.New(256)}
	s.servers = &servers{script: script, calls: map[uint32]int{}, running: map[string]int{}, delay: 2 * time.Millisecond}
	s.current.Store(v)
	l, stop := lane.New(s.box)
	l.SetSiblings([]*mbox.Box{s.box})
	l.SetControl(s.control)
	l.SetClock(clocks.New())
	l.SetCurrent(&s.current)
	l.SetUpstream(s.servers)
	l.SetLink(noLink{})
	l.SetPicker(pick.Policy{})
	l.SetHedger(hedge.Policy{})
	l.SetRamper(ramp.Policy{})
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

func (s *setup) ask(t *testing.T, q lagoon.Query) <-chan lagoon.Answer {
	t.Helper()
	reply := make(chan lagoon.Answer, 1)
	row := &qrys.Row{}
	row.SetQuery(q)
	row.SetReply(reply)
	if !s.box.TryPost(row) {
		t.Fatal("the lane's mailbox is full")
	}
	return reply
}

func query(service string, change func(q *lagoon.Query)) lagoon.Query {
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
			q.SetFirst(first)
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
		"all shards answer":              {script: []lagoon.Status{lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 1, index: 2},
		"a refusal goes elsewhere":       {script: []lagoon.Status{lagoon.StatusRefused, lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 2, index: 2},
		"a lost read goes elsewhere":     {script: []lagoon.Status{lagoon.StatusUnknown, lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 2, index: 2},
		"no replica answers":             {script: []lagoon.Status{lagoon.StatusUnknown}, want: lagoon.OutcomePartial, calls: 3, index: 2},
		"every replica refuses":          {script: []lagoon.Status{lagoon.StatusRefused}, want: lagoon.OutcomeNotRun, calls: 3, index: 2},
		"the snapshot goes everywhere":   {script: []lagoon.Status{lagoon.StatusVersionGone, lagoon.StatusVersionGone, lagoon.StatusVersionGone, lagoon.StatusOK}, want: lagoon.OutcomeAnswered, calls: 4, index: 1},
		"no lease":                       {view: func(v *view.View) { v.SetLeaseUntil(0) }, want: lagoon.OutcomeNotRun, reason: "majority"},
		"stopping":                       {view: func(v *view.View) { v.SetStopping(true) }, want: lagoon.OutcomeNotRun, reason: "stopping"},
		"an unknown service":             {query: func(q *lagoon.Query) { q.SetService("nothing") }, want: lagoon.OutcomeInvalid, reason: "not declared"},
		"a write without the time in it": {query: func(q *lagoon.Query) { q.SetIdempotent(false) }, want: lagoon.OutcomeUnknown, reason: "old"},
		"a first write without a claim":  {query: write(true), want: lagoon.OutcomeNotRun, reason: "claim"},
		"a repeated write without one":   {query: write(false), want: lagoon.OutcomeUnknown, reason: "earlier sending"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if len(c.script) == 0 {
				c.script = []lagoon.Status{lagoon.StatusOK}
			}
			s := start(t, twoShards(c.view), c.script...)
			a := <-s.answerClaims(t, s.ask(t, query("desk", c.query)))
			if a.Outcome() != c.want || !strings.Contains(a.Reason(), c.reason) {
				t.Errorf("got %v (%s), want %v with %q", a.Outcome(), a.Reason(), c.want, c.reason)
			}
			s.servers.mu.Lock()
			defer s.servers.mu.Unlock()
			if got := s.servers.calls[0]; got != c.calls {
				t.Errorf("calls to shard 0: got %d, want %d", got, c.calls)
			}
			if got := a.Snapshot().Index(); got != c.index {
				t.Errorf("index version: got %d, want %d", got, c.index)
			}
		})
	}
}

// answerClaims plays a keeper that cannot write, except that ids without a time
// of now are too old.
func (s *setup) answerClaims(t *testing.T, reply <-chan lagoon.Answer) <-chan lagoon.Answer {
	go func() {
		for _, m := range s.control.Wait(t.Context(), 200*time.Millisecond, nil) {
			ask, ok := m.(*lagoon.ClaimAsk)
			if !ok || ask.Void() {
				continue
			}
			told := &lagoon.ClaimTold{}
			told.SetQuery(ask.Query())
			told.SetAttempt(ask.Attempt())
			told.SetOutcome(lagoon.ClaimUnavailable)
			if strings.HasPrefix(ask.Request(), "1-") {
				told.SetOutcome(lagoon.ClaimForgotten)
			}
			s.box.TryPost(told)
		}
	}()
	return reply
}

// However many queries come at once, a server never gets more than the limit,
// which starts at one.
func TestLimitHoldsUnderABurst(t *testing.T) {
	s := start(t, twoShards(nil), lagoon.StatusOK)
	var replies []<-chan lagoon.Answer
	for range 25 {
		replies = append(replies, s.ask(t, query("desk", nil)))
	}
	for _, r := range replies {
		<-r
	}
	s.servers.mu.Lock()
	defer s.servers.mu.Unlock()
	if got, want := s.servers.most, 4; got > want {
		t.Errorf("requests at once at one server: got %d, want at most %d", got, want)
	}
}

// A lease that ends while legs are queued stops them.
func TestNothingIsSentAfterTheLease(t *testing.T) {
	s := start(t, twoShards(func(v *view.View) { v.SetLeaseUntil(clocks.New().Now() + 60*time.Millisecond) }), lagoon.StatusOK)
	s.servers.delay = 30 * time.Millisecond
	var replies []<-chan lagoon.Answer
	for range 20 {
		replies = append(replies, s.ask(t, query("desk", nil)))
	}
	for _, r := range replies {
		<-r
	}
	s.servers.mu.Lock()
	defer s.servers.mu.Unlock()
	// 3 replicas, one request at once each, of 30 ms in a lease of 60 ms.
	if got, want := s.servers.calls[0], 9; got > want {
		t.Errorf("calls to shard 0: got %d, want at most %d before the lease ended", got, want)
	}
}
