// Package quota admits requests by the quota of their organisation.
//
// # Usage
//
//	systems = append(systems, quota.System{})   // after admission
//	if !quota.Take(l, id, req, now) { ... }     // in admission, once the organisation is known
//	if !quota.Renew(l, req, now) { ... }        // right before an attempt is started
//	quota.Return(l, req, now)                   // when the response is decided
//
// Each request takes one token, which the granter granted to this node for a short time. Tokens
// for organisations with much traffic here are asked for in advance. Other requests wait for an
// answer of the granter, which takes a few milliseconds.
package quota

import (
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/usage"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// Times of requests for tokens.
const (
	maxWait        = 100 * time.Millisecond // for which a request waits for an answer, and after which an answer counts as lost
	askInterval    = 10 * time.Millisecond  // between two messages if requests wait
	prefetchPause  = 30 * time.Millisecond  // between two messages if none waits
	prefetchTime   = 150 * time.Millisecond // for whose expected requests tokens are prefetched; tokens are valid for 250 ms
	minDenial      = askInterval            // without further tokens after an answer with too few
	maxDenial      = 40 * time.Millisecond  // after that the granter is asked again; a bucket holds at least 50 ms of its rate
	demandTime     = 500 * time.Millisecond // time constant of the moving average of an organisation's requests
	idleTime       = 5 * time.Second        // without requests, after which an organisation's row is removed
	minRetryAfter  = 100 * time.Millisecond // for refused callers
	retryAfterSpan = 300 * time.Millisecond // over which callers are spread at least, so that they do not return together
)

// System handles grants and asks for tokens.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "quota" }

// Run adds the tokens granted in this tick, wakes the requests that wait for them, and asks for
// the tokens that are needed.
func (System) Run(l *loop.Loop, now time.Duration) {
	for _, m := range l.QuotaGrants() {
		for _, share := range m.Shares() {
			if row, ok := l.Usage().Find(share.Organisation()); ok {
				add(l, row, m, share, now)
			}
		}
	}
	if len(l.ShortOfTokens()) > 0 {
		ask(l, now)
	}
}

// add adds granted tokens and wakes the requests that wait for them.
func add(l *loop.Loop, row *usage.Row, m *lagoon.QuotaGrant, share lagoon.QuotaShare, now time.Duration) {
	if until := m.Sent() + m.ValidFor(); share.Tokens() > 0 && until > now {
		var tokens usage.Tokens
		tokens.SetCount(share.Tokens())
		tokens.SetUntil(until)
		row.SetBatches(append(row.Batches(), tokens))
	}
	if m.Sent() >= row.AskedAt() {
		if wait := share.RetryAfter(); wait > 0 || share.Tokens() < row.Asked() {
			row.SetDeniedUntil(now + min(max(wait, minDenial), maxDenial))
			row.SetRetryAt(now + wait)
		}
		row.SetAskedAt(0)
		row.SetAsked(0)
	}
	for _, id := range row.Waiting() {
		l.WakeAt(now, timers.Recheck, id)
	}
	row.SetWaiting(row.Waiting()[:0])
}

// ask asks for the tokens that organisations need, in one message.
func ask(l *loop.Loop, now time.Duration) {
	due := l.TokensAskedAt() + prefetchPause
	for _, name := range l.ShortOfTokens() {
		if row, ok := l.Usage().Find(name); ok && len(row.Waiting()) > 0 {
			due = l.TokensAskedAt() + askInterval
			break
		}
	}
	if l.TokensAskedAt() > 0 && now < due {
		if at := l.TokenRecheck(); at <= now || due < at {
			l.SetTokenRecheck(due) // one timer at a time
			l.WakeAt(due, timers.Recheck, 0)
		}
		return
	}
	evict(l, now)
	m := &lagoon.QuotaRequest{}
	self := l.View().Self()
	m.SetFrom(self.Name())
	m.SetSent(now)
	for _, name := range l.ShortOfTokens() {
		row, ok := l.Usage().Find(name)
		if !ok {
			continue
		}
		row.SetShort(false)
		if wanted := wanted(row, now); wanted > 0 {
			row.SetAsked(wanted)
			row.SetAskedAt(now)
			var want lagoon.QuotaWant
			want.SetOrganisation(name)
			want.SetTokens(wanted)
			want.SetRatePerSecond(row.Rate())
			want.SetBurst(row.Burst())
			m.SetWants(append(m.Wants(), want))
		}
	}
	l.SetShortOfTokens(l.ShortOfTokens()[:0])
	if len(m.Wants()) > 0 && l.AskTokens() != nil {
		l.SetTokensAskedAt(now)
		l.AskTokens()(m) // a request that is lost is repeated for the next callers
	}
}

// wanted returns how many tokens to ask for: one for each request that waits, and those for the
// next requests if the organisation has so many here that few tokens expire unused.
func wanted(row *usage.Row, now time.Duration) int {
	if now < row.DeniedUntil() || answerDue(row, now) {
		return 0
	}
	prefetch := int(math.Floor(demand(row, now) * prefetchTime.Seconds()))
	held := held(row, now)
	if len(row.Waiting()) == 0 && held > prefetch/2 {
		return 0
	}
	return len(row.Waiting()) + max(prefetch-held, 0)
}

// answerDue reports whether an answer for an organisation is due.
func answerDue(row *usage.Row, now time.Duration) bool {
	return row.AskedAt() > 0 && now-row.AskedAt() < maxWait
}

// demand returns the requests per second of an organisation.
func demand(row *usage.Row, now time.Duration) float64 {
	return row.Demand() * math.Exp(-float64(now-row.CountedAt())/float64(demandTime))
}

// held removes the expired tokens and returns the number of the others.
func held(row *usage.Row, now time.Duration) int {
	kept, count := row.Batches()[:0], 0
	for _, batch := range row.Batches() {
		if batch.Count() > 0 && now < batch.Until() {
			kept, count = append(kept, batch), count+batch.Count()
		}
	}
	row.SetBatches(kept)
	return count
}

// takeOne takes the token that expires first and returns when it expires, or 0 if there is none.
func takeOne(row *usage.Row, now time.Duration) time.Duration {
	if held(row, now) == 0 {
		return 0
	}
	batch := &row.Batches()[0]
	batch.SetCount(batch.Count() - 1)
	return batch.Until()
}
