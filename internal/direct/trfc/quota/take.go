package quota

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/usage"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// Take takes a token for a request whose organisation is known, and reports whether the request
// may be admitted. Otherwise it has been refused, or it waits for tokens and is admitted anew
// when its timer expires.
func Take(l *loop.Loop, id lagoon.RowID, req *reqs.Row, organisation *lagoon.Organisation, now time.Duration) bool {
	if organisation == nil || organisation.RatePerSecond() <= 0 {
		return true
	}
	row := ensure(l, organisation, now)
	if req.TokenSince() == 0 {
		req.SetTokenSince(now)
		row.SetDemand(demand(row, now) + 1/demandTime.Seconds())
		row.SetCountedAt(now)
	}
	markShort(l, row, organisation.Name())
	if until := takeOne(row, now); until > 0 {
		req.SetTokenUntil(until)
		return true
	}
	if waited := now - req.TokenSince(); now < row.DeniedUntil() || waited >= maxWait {
		refuse(l, id, req, row, organisation, now)
		return false
	}
	row.SetWaiting(append(row.Waiting(), id))
	l.WakeAt(req.TokenSince()+maxWait, timers.Recheck, id)
	return false
}

// ensure returns the row of an organisation.
func ensure(l *loop.Loop, organisation *lagoon.Organisation, now time.Duration) *usage.Row {
	row, ok := l.Usage().Find(organisation.Name())
	if !ok {
		evict(l, now)
		row = l.Usage().Ensure(organisation.Name())
	}
	row.SetRate(organisation.RatePerSecond())
	row.SetBurst(organisation.Burst())
	return row
}

// evict removes some of the idle rows. It is called for each row that is added and for each
// message, so that the number of rows stays in proportion to the organisations in use.
func evict(l *loop.Loop, now time.Duration) {
	const scanned = 4
	for range min(scanned, l.Usage().Len()) {
		i := int(l.RandomFloat() * float64(l.Usage().Len()))
		row := l.Usage().At(min(i, l.Usage().Len()-1))
		if now-row.CountedAt() >= idleTime && !row.Short() && len(row.Waiting()) == 0 {
			l.Usage().Remove(l.Usage().ID(min(i, l.Usage().Len()-1)))
		}
	}
}

// markShort lists an organisation as one that may need tokens.
func markShort(l *loop.Loop, row *usage.Row, name string) {
	if !row.Short() {
		row.SetShort(true)
		l.SetShortOfTokens(append(l.ShortOfTokens(), name))
	}
}

// refuse answers that the quota is used up.
func refuse(l *loop.Loop, id lagoon.RowID, req *reqs.Row, row *usage.Row, organisation *lagoon.Organisation, now time.Duration) {
	wait := max(row.RetryAt()-now, minRetryAfter)
	wait += time.Duration(l.RandomFloat() * float64(max(wait, retryAfterSpan)))
	var r lagoon.Response
	r.SetOutcome(lagoon.RequestOverQuota)
	r.SetRetryAfter(wait)
	r.SetReason(fmt.Sprintf("over the quota of %g per second and a burst of %g; waited %s for tokens, more are expected in %s, %.1f requests per second here",
		organisation.RatePerSecond(), organisation.Burst(), (now - req.TokenSince()).Round(time.Millisecond), max(row.RetryAt()-now, 0).Round(time.Millisecond), demand(row, now)))
	req.SetResponse(r)
	req.SetDecided(true)
	l.MarkDecided(id)
}

// Renew reports whether an attempt of a request may be started. A request that waited for longer
// than its token was valid, without having reached a server, needs another one. It is refused if
// none is expected, which promises that it has not run: one that may have run needs none.
func Renew(l *loop.Loop, id lagoon.RowID, req *reqs.Row, now time.Duration) bool {
	if req.TokenUntil() == 0 || now < req.TokenUntil() || req.Reached() || req.MayHaveRun() {
		return true
	}
	if inflight(l, req) > 0 {
		return true
	}
	organisation := req.View().OrganisationNamed(req.Organisation())
	if organisation == nil {
		return true
	}
	row := ensure(l, organisation, now)
	if until := takeOne(row, now); until > 0 {
		req.SetTokenUntil(until)
		req.SetSentAt(0)
		return true
	}
	if now < row.DeniedUntil() {
		refuse(l, id, req, row, organisation, now)
		return false
	}
	if len(row.Waiting()) == 0 {
		row.SetWaiting(append(row.Waiting(), id))
	}
	markShort(l, row, req.Organisation())
	return false
}

// SendBefore returns the time before which an attempt that is started now must be sent, or 0. While
// none has reached a server, and none that was started earlier is in flight, attempts must be sent
// while the request's token is valid. It is called when the attempt counts as in flight.
func SendBefore(l *loop.Loop, req *reqs.Row, now time.Duration) time.Duration {
	if req.TokenUntil() == 0 || req.Reached() {
		return 0
	}
	if req.SentAt() == 0 || inflight(l, req) <= 1 {
		req.SetSentAt(now)
	}
	if req.SentAt() != now {
		return 0
	}
	return req.TokenUntil()
}

// inflight returns the number of attempts of a request that are in flight.
func inflight(l *loop.Loop, req *reqs.Row) int {
	sum := 0
	for _, id := range req.Shards() {
		if shard, ok := l.Shards().Resolve(id); ok {
			sum += shard.Inflight()
		}
	}
	return sum
}

// Return returns the token of a request that ends without having been sent.
func Return(l *loop.Loop, req *reqs.Row, now time.Duration) {
	if req.TokenUntil() <= now || req.SentAt() > 0 {
		return
	}
	if row, ok := l.Usage().Find(req.Organisation()); ok {
		var tokens usage.Tokens
		tokens.SetCount(1)
		tokens.SetUntil(req.TokenUntil())
		row.SetBatches(append([]usage.Tokens{tokens}, row.Batches()...))
	}
}
