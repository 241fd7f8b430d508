package claim_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

func newRequest(from, request string, attempt uint64, void bool) lagoon.ClaimRequest {
	var r lagoon.ClaimRequest
	r.SetFrom(from)
	r.SetRequestID(request)
	r.SetAttempt(attempt)
	r.SetVoid(void)
	return r
}

func TestDecide(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	const requestID = "999999000-a"
	cases := map[string]struct {
		requests []lagoon.ClaimRequest
		want     lagoon.ClaimOutcome
	}{
		"first":                       {[]lagoon.ClaimRequest{newRequest("n1", requestID, 1, false)}, lagoon.ClaimGranted},
		"same attempt retried":        {[]lagoon.ClaimRequest{newRequest("n1", requestID, 1, false), newRequest("n1", requestID, 1, false)}, lagoon.ClaimGranted},
		"another attempt":             {[]lagoon.ClaimRequest{newRequest("n1", requestID, 1, false), newRequest("n2", requestID, 2, false)}, lagoon.ClaimHeld},
		"another node's attempt":      {[]lagoon.ClaimRequest{newRequest("n1", requestID, 1, false), newRequest("n2", requestID, 1, false)}, lagoon.ClaimHeld},
		"after a void":                {[]lagoon.ClaimRequest{newRequest("n1", requestID, 1, false), newRequest("n1", requestID, 1, true), newRequest("n2", requestID, 2, false)}, lagoon.ClaimGranted},
		"same attempt after its void": {[]lagoon.ClaimRequest{newRequest("n1", requestID, 1, false), newRequest("n1", requestID, 1, true), newRequest("n1", requestID, 1, false)}, lagoon.ClaimHeld},
		"void by another attempt":     {[]lagoon.ClaimRequest{newRequest("n1", requestID, 1, false), newRequest("n2", requestID, 2, true), newRequest("n2", requestID, 2, false)}, lagoon.ClaimHeld},
		"expired":                     {[]lagoon.ClaimRequest{newRequest("n1", "1000-a", 1, false)}, lagoon.ClaimExpired},
		"created in the future":       {[]lagoon.ClaimRequest{newRequest("n1", "9990000000000-a", 1, false)}, lagoon.ClaimExpired},
		"without creation time":       {[]lagoon.ClaimRequest{newRequest("n1", "abc", 1, false)}, lagoon.ClaimExpired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var b lagoon.ClaimBucket
			var got lagoon.ClaimOutcome
			for _, r := range c.requests {
				got, _, _ = claim.Keeper{}.Decide(&b, r, now)
			}
			if got != c.want {
				t.Errorf("got outcome %d, want %d", got, c.want)
			}
		})
	}
}

func TestExpiredIDIsNeverGranted(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	var b lagoon.ClaimBucket
	k := claim.Keeper{}
	k.Decide(&b, newRequest("n1", "999999000-a", 1, false), now)
	afterRetention := now.Add(claim.Retention)
	if !k.Expire(&b, afterRetention) {
		t.Fatal("got no claim removed, want one")
	}
	// The horizon must also reject the ID on a keeper with a slow clock.
	if got, _, _ := k.Decide(&b, newRequest("n2", "999999000-a", 2, false), now); got != lagoon.ClaimExpired {
		t.Errorf("got outcome %d, want %d", got, lagoon.ClaimExpired)
	}
}
