package trfc_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// quotaNode is a node with traffic, whose granter answers as the test says.
type quotaNode struct {
	*sim
	asked []*lagoon.QuotaRequest
	grant func(wanted int) int // returns the tokens granted; nil for no answer
	delay time.Duration        // until the answer
}

// newQuotaNode returns a node with organisations that have a quota and the keys k-0, k-1 and so on.
func newQuotaNode(t *testing.T, organisations, shards int) *quotaNode {
	n := &quotaNode{sim: newSim(t, 1), delay: 3 * time.Millisecond}
	n.publish(gatherRoute(n.addShards(shards, 10*time.Millisecond)))
	var declared []lagoon.Organisation
	for i := range organisations {
		o := newOrganisation(fmt.Sprint("org-", i), fmt.Sprint("k-", i), -1)
		o.SetRatePerSecond(100)
		o.SetBurst(10)
		declared = append(declared, o)
	}
	n.identify(nil, append(declared, newOrganisation("unlimited", "k-u", -1))...)
	n.loop.SetAskTokens(func(m any) bool {
		request := m.(*lagoon.QuotaRequest)
		n.asked = append(n.asked, request)
		if n.grant == nil {
			return true
		}
		answer := &lagoon.QuotaGrant{}
		answer.SetSent(request.Sent())
		answer.SetValidFor(250 * time.Millisecond)
		for _, want := range request.Wants() {
			var share lagoon.QuotaShare
			share.SetOrganisation(want.Organisation())
			share.SetTokens(n.grant(want.Tokens()))
			if share.Tokens() < want.Tokens() {
				share.SetRetryAfter(2 * time.Second)
			}
			answer.SetShares(append(answer.Shares(), share))
		}
		n.schedule(n.delay, func() { n.tick(answer) })
		return true
	})
	return n
}

func all(wanted int) int { return wanted }

func none(int) int { return 0 }

// TestGatheredRequestTakesOneToken guards against a quota that counts the parts of a request.
func TestGatheredRequestTakesOneToken(t *testing.T) {
	n := newQuotaNode(t, 1, 36)
	n.grant = all
	q := n.submitWithKey("k-0")
	n.runUntil(n.now + time.Second)
	if got, want := q.response.Outcome(), lagoon.RequestGathered; got != want {
		t.Fatalf("got outcome %s, want %s", got, want)
	}
	if len(n.asked) != 1 || n.asked[0].Wants()[0].Tokens() != 1 {
		t.Errorf("got %d requests for tokens, the first with %+v, want one token", len(n.asked), n.asked[0].Wants())
	}
	if q := n.submitWithKey("k-u"); q.response.Outcome() == lagoon.RequestOverQuota || len(n.asked) != 1 {
		t.Errorf("organisation without a quota: got outcome %s and %d requests for tokens, want none", q.response.Outcome(), len(n.asked))
	}
}

// TestRequestWaitsForAnswer guards against requests that are refused although tokens are on their
// way, that wait for an answer that does not come, or that are refused later than necessary.
func TestRequestWaitsForAnswer(t *testing.T) {
	for _, test := range []struct {
		name  string
		grant func(int) int
		delay time.Duration
		want  lagoon.RequestOutcome
		least time.Duration // until the response
		most  time.Duration
	}{
		{"tokens", all, 60 * time.Millisecond, lagoon.RequestGathered, 60 * time.Millisecond, 120 * time.Millisecond},
		{"no tokens", none, 5 * time.Millisecond, lagoon.RequestOverQuota, 5 * time.Millisecond, 6 * time.Millisecond},
		{"no answer", nil, 0, lagoon.RequestOverQuota, 100 * time.Millisecond, 101 * time.Millisecond},
		{"tokens that have expired", all, 260 * time.Millisecond, lagoon.RequestOverQuota, 100 * time.Millisecond, 101 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newQuotaNode(t, 1, 3)
			n.grant, n.delay = test.grant, test.delay
			q := n.submitWithKey("k-0")
			n.runUntil(n.now + 400*time.Millisecond)
			if got := q.response.Outcome(); got != test.want {
				t.Fatalf("got outcome %s, want %s", got, test.want)
			}
			if q.elapsed < test.least || q.elapsed > test.most {
				t.Errorf("got a response after %s, want %s to %s", q.elapsed, test.least, test.most)
			}
			if over := test.want == lagoon.RequestOverQuota; over && (len(n.attempts) > 0 || q.response.RetryAfter() < 100*time.Millisecond) {
				t.Errorf("got %d attempts and Retry-After %s, want none and at least 100ms", len(n.attempts), q.response.RetryAfter())
			}
		})
	}
}

// TestRequestIsRefusedImmediately guards against requests that wait although the granter has just
// said that there are no tokens, and against callers that return together.
func TestRequestIsRefusedImmediately(t *testing.T) {
	n := newQuotaNode(t, 1, 3)
	n.grant = none
	n.submitWithKey("k-0")
	n.runUntil(n.now + 5*time.Millisecond)
	waits := map[time.Duration]bool{}
	for range 20 {
		q := n.submitWithKey("k-0")
		if q.response.Outcome() != lagoon.RequestOverQuota || q.elapsed > 0 {
			t.Fatalf("got outcome %s after %s, want over_quota at once", q.response.Outcome(), q.elapsed)
		}
		if wait := q.response.RetryAfter(); wait < 1900*time.Millisecond {
			t.Errorf("got Retry-After %s, want at least the time until there are tokens", wait)
		}
		waits[q.response.RetryAfter()] = true
	}
	if len(waits) < 15 {
		t.Errorf("got %d different values of Retry-After of 20 requests, want them spread out", len(waits))
	}
}

// TestTokenMessagesAreBounded guards against messages whose number grows with the organisations or
// their requests, and against organisations that share no message.
func TestTokenMessagesAreBounded(t *testing.T) {
	n := newQuotaNode(t, 60, 1)
	n.grant = all
	for _, server := range n.servers {
		server.meanTime = time.Millisecond
	}
	served := 0
	for range 2000 { // 2 s with 60 requests every 20 ms
		n.runUntil(n.now + time.Millisecond)
		for range 3 {
			n.submitWithKey(fmt.Sprint("k-", n.rng.IntN(60)))
		}
	}
	n.runUntil(n.now + time.Second)
	for _, q := range n.completed {
		if q.response.Outcome() == lagoon.RequestGathered {
			served++
		}
	}
	if got, most := len(n.asked), 201; got > most {
		t.Errorf("got %d requests for tokens in 2 s, want at most %d", got, most)
	}
	for i := 1; i < len(n.asked); i++ {
		if gap := n.asked[i].Sent() - n.asked[i-1].Sent(); gap < 10*time.Millisecond {
			t.Fatalf("got requests for tokens %s apart, want at least 10ms", gap)
		}
	}
	if served < 5990 {
		t.Errorf("got %d of 6000 requests served, want all", served)
	}
}

// TestUnsentRequestReturnsToken guards against tokens that are lost with requests which reached no
// server, and against one that is returned twice.
func TestUnsentRequestReturnsToken(t *testing.T) {
	n := newQuotaNode(t, 1, 3)
	tokens := 1
	n.grant = func(wanted int) int {
		granted := min(wanted, tokens)
		tokens -= granted
		return granted
	}
	published := *n.publishedView.Load()
	without := published
	without.SetServersByService(nil)
	n.publishedView.Store(&without)
	refused := n.submitWithKey("k-0")
	n.runUntil(n.now + 10*time.Millisecond)
	if got, want := refused.response.Outcome(), lagoon.RequestRefused; got != want {
		t.Fatalf("got outcome %s, want %s", got, want)
	}
	n.publishedView.Store(&published)
	first, second := n.submitWithKey("k-0"), n.submitWithKey("k-0")
	n.runUntil(n.now + 200*time.Millisecond)
	if first.response.Outcome() != lagoon.RequestGathered || second.response.Outcome() != lagoon.RequestOverQuota {
		t.Errorf("got outcomes %s and %s, want gathered with the returned token and over_quota", first.response.Outcome(), second.response.Outcome())
	}
}

// TestTokenExpiresBeforeSend guards against a token that is used after its time, by a request that
// waits for a free connection or by a process that stands still before the send.
func TestTokenExpiresBeforeSend(t *testing.T) {
	n := newQuotaNode(t, 1, 1)
	n.grant = all
	for _, server := range n.servers {
		server.meanTime = 400 * time.Millisecond
	}
	limited := *n.publishedView.Load()
	var pool lagoon.Pool
	pool.SetMaxConns(1)
	limited.SetPools(map[string]lagoon.Pool{"shard-0": pool})
	n.publishedView.Store(&limited)
	start := n.now
	for range 4 { // three servers with one connection each
		n.submitWithKey("k-0")
	}
	n.runUntil(start + 100*time.Millisecond)
	if len(n.attempts) != 3 {
		t.Fatalf("got %d attempts, want one for each server", len(n.attempts))
	}
	for _, a := range n.attempts {
		if at := a.SendBefore(); at <= start || at > start+300*time.Millisecond {
			t.Errorf("got an attempt that must be sent before %s, want the time at which its token expires", at)
		}
	}
	n.grant = none
	n.runUntil(start + 3*time.Second)
	outcomes := map[lagoon.RequestOutcome]int{}
	for _, q := range n.completed {
		outcomes[q.response.Outcome()]++
	}
	if outcomes[lagoon.RequestOverQuota] != 1 {
		t.Errorf("got outcomes %v, want the waiting request refused when its token has expired", outcomes)
	}
	for _, a := range n.attempts[3:] {
		if a.SendBefore() > 0 {
			t.Errorf("got a hedge that must be sent before %s, want no bound on further attempts of a request", a.SendBefore())
		}
	}
}

// TestRequestThatMayHaveRunIsNotOverQuota guards against a refusal that promises that a request has
// not run, for one whose response was lost after its token expired.
func TestRequestThatMayHaveRunIsNotOverQuota(t *testing.T) {
	n := newQuotaNode(t, 1, 1)
	n.grant = all
	for _, server := range n.servers {
		server.meanTime = 400 * time.Millisecond
		server.dropsReplies = true
	}
	q := n.submitWithKey("k-0")
	n.runUntil(n.now + 100*time.Millisecond)
	n.grant = none
	for range 200 {
		n.runUntil(n.now + 10*time.Millisecond)
		n.submitWithKey("k-0") // so that the organisation stays without tokens
	}
	if got, want := q.response.Outcome(), lagoon.RequestLost; got != want {
		t.Errorf("got outcome %s after %d attempts, want %s", got, len(n.attempts), want)
	}
}

// TestAttemptAfterUnsentOneExpires guards against a token that is used after its time by an attempt
// that follows one which was not sent.
func TestAttemptAfterUnsentOneExpires(t *testing.T) {
	n := newQuotaNode(t, 1, 1)
	n.grant = all
	for _, server := range n.servers {
		server.unreachable = true
	}
	start := n.now
	n.submitWithKey("k-0")
	n.runUntil(start + 200*time.Millisecond)
	for i, a := range n.attempts {
		if at := a.SendBefore(); at <= start || at > start+300*time.Millisecond {
			t.Errorf("attempt %d: got one that must be sent before %s, want the time at which its token expires", i, at)
		}
	}
	if len(n.attempts) < 2 {
		t.Errorf("got %d attempts, want one after the first", len(n.attempts))
	}
}

// TestWaitingRequestOfPublicRouteHasNoOrganisation guards against a request that servers get in the
// name of an organisation although its route became public while it waited for tokens.
func TestWaitingRequestOfPublicRouteHasNoOrganisation(t *testing.T) {
	n := newQuotaNode(t, 1, 1)
	q := n.submitWithKey("k-0")
	n.runUntil(n.now + 10*time.Millisecond)
	v := *n.publishedView.Load()
	route := *v.Routes()["desk"][0]
	route.SetPublic(true)
	v.SetRoutes(map[string][]*lagoon.Route{"desk": {&route}})
	n.publishedView.Store(&v)
	n.runUntil(n.now + time.Second)
	if got, want := q.response.Outcome(), lagoon.RequestGathered; got != want || len(n.attempts) == 0 {
		t.Fatalf("got outcome %s after %d attempts, want %s", got, len(n.attempts), want)
	}
	for _, a := range n.attempts {
		if a.Organisation() != "" {
			t.Errorf("got an attempt in the name of %q, want none", a.Organisation())
		}
	}
}
