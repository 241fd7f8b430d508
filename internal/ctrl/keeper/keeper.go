// Package keeper records claims on request ids, many with one write.
//
// # Usage
//
//	systems = append(systems, keeper.System{})
//
// It writes the claims table. Each bucket has one keeper among the members, so
// that conditional writes seldom conflict; when two nodes both think that they
// keep a bucket, the conditional write lets one through and the other reads
// again. Asks that arrive during a write wait for the next.
package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/claims"
	"github.com/lagoontrail/lagoon/internal/world"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

// Timing of writes to one bucket.
const (
	writeEvery = 20 * time.Millisecond
	writeLimit = 2 * time.Second
	attempts   = 4
)

// forgetAbove is the number of claims above which old ones are dropped.
const forgetAbove = 1000

// System records claims.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "keeper" }

// Run starts the writes that are due.
func (s System) Run(w *world.World, now time.Duration) {
	var k claim.Keeper
	for _, ask := range w.Asks() {
		number := k.Bucket(ask.Request())
		b := w.Claims().Ensure(fmt.Sprint(number))
		b.SetNumber(number)
		b.SetWaiting(append(b.Waiting(), ask))
	}
	for i := range w.Claims().Len() {
		b := w.Claims().At(i)
		if len(b.Waiting()) > 0 && !b.Writing() && now-b.Wrote() >= writeEvery {
			s.write(w, b, now)
		}
	}
}

// attempt is one write with the asks it decides.
type attempt struct {
	number  int
	bucket  lagoon.ClaimBucket
	version uint64
	known   bool
	told    []*lagoon.ClaimTold
}

func (s System) write(w *world.World, b *claims.Row, now time.Duration) {
	asks := b.Waiting()
	b.SetWaiting(nil)
	b.SetWriting(true)
	b.SetWrote(now)
	a := &attempt{number: b.Number(), bucket: b.Bucket(), version: b.Version(), known: b.Known()}
	repo, clock := w.Repo(), w.Clock()
	w.Spawn(writeLimit, func(ctx context.Context) func(*world.World) {
		err := s.commit(ctx, repo, clock, a, asks)
		return func(w *world.World) { s.finish(w, a, asks, err) }
	})
}

// commit decides the asks and writes the bucket until a write succeeds.
func (s System) commit(ctx context.Context, repo lagoon.Repository, clock lagoon.Clock, a *attempt, asks []*lagoon.ClaimAsk) error {
	var err error
	for range attempts {
		if !a.known {
			if a.bucket, a.version, err = repo.Bucket(ctx, a.number); err != nil {
				return errors.Wrap(err, "read the claims")
			}
		}
		a.known = false
		next, told, changed := decide(a.bucket, asks, clock.Wall())
		if !changed {
			// Nothing to write; but what was read may be old, so only a
			// fresh read counts.
			if a.bucket, a.version, err = repo.Bucket(ctx, a.number); err != nil {
				return errors.Wrap(err, "read the claims")
			}
			if next, told, changed = decide(a.bucket, asks, clock.Wall()); !changed {
				a.known, a.told = true, told
				return nil
			}
		}
		version, err := repo.PutBucket(ctx, a.number, next, a.version)
		if err == nil {
			a.bucket, a.version, a.known, a.told = next, version, true, told
			return nil
		}
		if !errors.Is(err, lagoon.ErrConflict) {
			return errors.Wrap(err, "write the claims")
		}
	}
	return errors.New("other nodes kept writing the claims")
}

// decide applies the asks to a copy of the bucket.
func decide(b lagoon.ClaimBucket, asks []*lagoon.ClaimAsk, now time.Time) (lagoon.ClaimBucket, []*lagoon.ClaimTold, bool) {
	var k claim.Keeper
	b.SetClaims(append([]lagoon.Claim(nil), b.Claims()...))
	if len(b.Claims()) > forgetAbove {
		k.Forget(&b, now)
	}
	changed := false
	told := make([]*lagoon.ClaimTold, len(asks))
	for i, ask := range asks {
		outcome, holder, wrote := k.Decide(&b, *ask, now)
		changed = changed || wrote
		told[i] = answer(ask, outcome, holder)
	}
	return b, told, changed
}

func answer(ask *lagoon.ClaimAsk, outcome lagoon.ClaimOutcome, detail string) *lagoon.ClaimTold {
	t := &lagoon.ClaimTold{}
	t.SetLane(ask.Lane())
	t.SetQuery(ask.Query())
	t.SetAttempt(ask.Attempt())
	t.SetOutcome(outcome)
	t.SetDetail(detail)
	return t
}

func (System) finish(w *world.World, a *attempt, asks []*lagoon.ClaimAsk, err error) {
	if b, ok := w.Claims().Find(fmt.Sprint(a.number)); ok {
		b.SetWriting(false)
		b.SetKnown(a.known && err == nil)
		b.SetBucket(a.bucket)
		b.SetVersion(a.version)
	}
	for i, ask := range asks {
		t := answer(ask, lagoon.ClaimUnsure, "")
		if err == nil {
			t = a.told[i]
		} else {
			t.SetDetail(err.Error())
		}
		if !ask.Void() {
			tell(w, ask, t)
		}
	}
	if err != nil {
		w.Act("claims_not_written", fmt.Sprintf("bucket %d", a.number), err.Error())
	}
}

// tell sends an outcome to the lane that asked.
func tell(w *world.World, ask *lagoon.ClaimAsk, t *lagoon.ClaimTold) {
	if ask.From() == w.Self().Name() {
		if t.Lane() < len(w.Lanes()) {
			w.Lanes()[t.Lane()].TryPost(t)
		}
		return
	}
	if n, ok := w.Nodes().Find(ask.From()); ok {
		w.Link().Send(n.Member().Addr(), t)
	}
}
