// Package claim decides on claims, which make a non-idempotent request run at
// most once.
//
// # Usage
//
//	var k claim.Keeper
//	out := k.Decide(&bucket, ask, nowWall)   // changes the bucket
//	// write the bucket by a conditional put, then report out
//
// A claim counts only after the conditional write of its bucket succeeded. The
// write is what stops a paused keeper: its bucket has another version by then.
// Request ids carry the wall time at which they were made, so that an id older
// than the claims remembered is recognised and never granted.
package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// Buckets is the number of platform objects that claims are spread over.
const Buckets = 16

// Retention is how long a claim is remembered after its id was made.
const Retention = 10 * time.Minute

// MaxAhead is how far in the future an id may have been made.
const MaxAhead = time.Minute

// maxClaims bounds the claims of one bucket so that it stays below a megabyte.
const maxClaims = 6000

// maxID bounds a request id in bytes.
const maxID = 64

// Keeper decides on claims. The zero value works; it has no state.
type Keeper struct{}

// Bucket returns the bucket of a request id, from 0 to Buckets-1.
func (Keeper) Bucket(request string) int {
	return int(xxhash.Sum64String(request) % Buckets)
}

// Made returns the wall time in an id of the form MILLISECONDS-RANDOM, or an
// error that says what is wrong with the id.
func (Keeper) Made(request string) (time.Time, error) {
	if len(request) > maxID {
		return time.Time{}, errors.Errorf("request id has %d bytes; at most %d are allowed", len(request), maxID)
	}
	head, tail, ok := strings.Cut(request, "-")
	if !ok || tail == "" {
		return time.Time{}, errors.New("request id must have the form MILLISECONDS-RANDOM, with the Unix time at which it was made")
	}
	ms, err := strconv.ParseInt(head, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, errors.Errorf("request id starts with %q; Unix milliseconds are expected", head)
	}
	return time.UnixMilli(ms), nil
}

// Decide applies one ask to a bucket and returns what becomes of it once the
// bucket is written. The second result is the holder's name for ClaimHeld; the
// third says whether the bucket changed.
func (k Keeper) Decide(b *lagoon.ClaimBucket, ask lagoon.ClaimAsk, now time.Time) (lagoon.ClaimOutcome, string, bool) {
	claims := b.Claims()
	for i := range claims {
		if claims[i].Request() == ask.Request() {
			return k.known(&claims[i], ask)
		}
	}
	if ask.Void() {
		return lagoon.ClaimVoided, "", false
	}
	made, err := k.Made(ask.Request())
	if err != nil || made.UnixMilli() <= b.HorizonMilli() || now.Sub(made) >= Retention || made.Sub(now) > MaxAhead {
		return lagoon.ClaimForgotten, "", false
	}
	if len(claims) >= maxClaims && !k.Forget(b, now) {
		return lagoon.ClaimUnavailable, "", false
	}
	var c lagoon.Claim
	c.SetRequest(ask.Request())
	c.SetAttempt(ask.Attempt())
	c.SetHolder(ask.From())
	b.SetClaims(append(b.Claims(), c))
	return lagoon.ClaimGranted, "", true
}

func (Keeper) known(c *lagoon.Claim, ask lagoon.ClaimAsk) (lagoon.ClaimOutcome, string, bool) {
	mine := c.Attempt() == ask.Attempt() && c.Holder() == ask.From()
	switch {
	case ask.Void() && mine:
		changed := !c.Void()
		c.SetVoid(true)
		return lagoon.ClaimVoided, "", changed
	case ask.Void():
		return lagoon.ClaimVoided, "", false
	case mine && !c.Void():
		return lagoon.ClaimGranted, "", false
	case c.Void() && !mine:
		c.SetVoid(false)
		c.SetAttempt(ask.Attempt())
		c.SetHolder(ask.From())
		return lagoon.ClaimGranted, "", true
	}
	return lagoon.ClaimHeld, c.Holder(), false
}

// Forget drops claims whose ids are past their retention and raises the
// horizon over them. It reports whether any was dropped.
func (k Keeper) Forget(b *lagoon.ClaimBucket, now time.Time) bool {
	horizon := max(b.HorizonMilli(), now.Add(-Retention).UnixMilli())
	kept := make([]lagoon.Claim, 0, len(b.Claims()))
	for _, c := range b.Claims() {
		if made, err := k.Made(c.Request()); err == nil && made.UnixMilli() > horizon {
			kept = append(kept, c)
		}
	}
	dropped := len(kept) < len(b.Claims())
	b.SetClaims(kept)
	b.SetHorizonMilli(horizon)
	return dropped
}
