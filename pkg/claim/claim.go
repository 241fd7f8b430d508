// Package claim decides on claims, which provide at-most-once execution of requests
// that are not idempotent.
//
// # Usage
//
//	var k claim.Keeper
//	outcome, holder, changed := k.Decide(&bucket, request, wallTime)
//	// if changed, write the bucket with a conditional put before reporting the outcome
//
// A claim takes effect only when the conditional write of its bucket has succeeded.
// The write of a keeper that was paused fails, because another keeper has written a
// newer version of the bucket by then. Request IDs contain the wall time of their
// creation, so that IDs older than the retention period are recognized and never
// granted.
package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// Buckets is the number of platform objects over which claims are distributed.
const Buckets = 16

// Retention is how long a claim is kept after the creation of its request ID.
const Retention = 10 * time.Minute

// MaxClockSkew is how far in the future the creation time of a request ID may be.
const MaxClockSkew = time.Minute

// maxClaims limits the claims of one bucket, to keep its object below the limit of
// one megabyte.
const maxClaims = 6000

// maxIDBytes is the maximum length of a request ID.
const maxIDBytes = 64

// Keeper decides on claims. It has no state; the zero value is usable.
type Keeper struct{}

// Bucket returns the bucket of a request ID, from 0 to Buckets-1.
func (Keeper) Bucket(requestID string) int {
	return int(xxhash.Sum64String(requestID) % Buckets)
}

// CreatedAt returns the creation time in a request ID, which has the form
// MILLISECONDS-RANDOM. It returns an error if the ID is malformed.
func (Keeper) CreatedAt(requestID string) (time.Time, error) {
	if len(requestID) > maxIDBytes {
		return time.Time{}, errors.Errorf("request id has %d bytes; at most %d are allowed", len(requestID), maxIDBytes)
	}
	millis, suffix, ok := strings.Cut(requestID, "-")
	if !ok || suffix == "" {
		return time.Time{}, errors.New("request id must have the form MILLISECONDS-RANDOM, where MILLISECONDS is the Unix time of its creation")
	}
	ms, err := strconv.ParseInt(millis, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, errors.Errorf("request id starts with %q; must start with Unix milliseconds", millis)
	}
	return time.UnixMilli(ms), nil
}

// Decide applies a claim request to a bucket. The outcome is valid once the bucket
// is written. The second result is the holder's name for ClaimHeld. The third result
// reports whether the bucket changed.
func (k Keeper) Decide(b *lagoon.ClaimBucket, req lagoon.ClaimRequest, now time.Time) (lagoon.ClaimOutcome, string, bool) {
	claims := b.Claims()
	for i := range claims {
		if claims[i].RequestID() == req.RequestID() {
			return k.decideExisting(&claims[i], req)
		}
	}
	if req.Void() {
		return lagoon.ClaimVoided, "", false
	}
	created, err := k.CreatedAt(req.RequestID())
	if err != nil || created.UnixMilli() <= b.HorizonMilli() || now.Sub(created) >= Retention || created.Sub(now) > MaxClockSkew {
		return lagoon.ClaimExpired, "", false
	}
	if len(claims) >= maxClaims && !k.Expire(b, now) {
		return lagoon.ClaimUnavailable, "", false
	}
	var c lagoon.Claim
	c.SetRequestID(req.RequestID())
	c.SetAttempt(req.Attempt())
	c.SetHolder(req.From())
	b.SetClaims(append(b.Claims(), c))
	return lagoon.ClaimGranted, "", true
}

// decideExisting applies a claim request to the claim recorded for its request ID.
func (Keeper) decideExisting(c *lagoon.Claim, req lagoon.ClaimRequest) (lagoon.ClaimOutcome, string, bool) {
	isHolder := c.Attempt() == req.Attempt() && c.Holder() == req.From()
	switch {
	case req.Void() && isHolder:
		changed := !c.Void()
		c.SetVoid(true)
		return lagoon.ClaimVoided, "", changed
	case req.Void():
		return lagoon.ClaimVoided, "", false
	case isHolder && !c.Void():
		return lagoon.ClaimGranted, "", false
	case c.Void() && !isHolder:
		c.SetVoid(false)
		c.SetAttempt(req.Attempt())
		c.SetHolder(req.From())
		return lagoon.ClaimGranted, "", true
	}
	return lagoon.ClaimHeld, c.Holder(), false
}

// Expire removes the claims whose retention period has ended and advances the
// horizon past them. It reports whether any claim was removed.
func (k Keeper) Expire(b *lagoon.ClaimBucket, now time.Time) bool {
	horizon := max(b.HorizonMilli(), now.Add(-Retention).UnixMilli())
	kept := make([]lagoon.Claim, 0, len(b.Claims()))
	for _, c := range b.Claims() {
		if created, err := k.CreatedAt(c.RequestID()); err == nil && created.UnixMilli() > horizon {
			kept = append(kept, c)
		}
	}
	removed := len(kept) < len(b.Claims())
	b.SetClaims(kept)
	b.SetHorizonMilli(horizon)
	return removed
}
