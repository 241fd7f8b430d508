package claim_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

func newRequest(from, request string, attempt uint64, void bool) lagoon.ClaimAsk {
	var a lagoon.ClaimAsk
	a.SetFrom(from)
	a.SetRequest(request)
	a.SetAttempt(attempt)
	a.SetVoid(void)
	return a
}

func TestDecide(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	const requestID = "999999000-a"
	cases := map[string]struct {
		requests []lagoon.ClaimAsk
		want     lagoon.ClaimOutcome
	}{
		"first":                       {[]lagoon.ClaimAsk{newRequest("n1", requestID, 1, false)}, lagoon.ClaimGranted},
		"same attempt retried":        {[]lagoon.ClaimAsk{newRequest("n1", requestID, 1, false), newRequest("n1", requestID, 1, false)}, lagoon.ClaimGranted},
		"another attempt":             {[]lagoon.ClaimAsk{newRequest("n1", requestID, 1, false), newRequest("n2", requestID, 2, false)}, lagoon.ClaimHeld},
		"another node's attempt":      {[]lagoon.ClaimAsk{newRequest("n1", requestID, 1, false), newRequest("n2", requestID, 1, false)}, lagoon.ClaimHeld},
		"after a void":                {[]lagoon.ClaimAsk{newRequest("n1", requestID, 1, false), newRequest("n1", requestID, 1, true), newRequest("n2", requestID, 2, false)}, lagoon.ClaimGranted},
		"same attempt after its void": {[]lagoon.ClaimAsk{newRequest("n1", requestID, 1, false), newRequest("n1", requestID, 1, true), newRequest("n1", requestID, 1, false)}, lagoon.ClaimHeld},
		"void by another attempt":     {[]lagoon.ClaimAsk{newRequest("n1", requestID, 1, false), newRequest("n2", requestID, 2, true), newRequest("n2", requestID, 2, false)}, lagoon.ClaimHeld},
		"expired":                     {[]lagoon.ClaimAsk{newRequest("n1", "1000-a", 1, false)}, lagoon.ClaimForgotten},
		"created in the future":       {[]lagoon.ClaimAsk{newRequest("n1", "9990000000000-a", 1, false)}, lagoon.ClaimForgotten},
		"without creation time":       {[]lagoon.ClaimAsk{newRequest("n1", "abc", 1, false)}, lagoon.ClaimForgotten},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var b lagoon.ClaimBucket
			var got lagoon.ClaimOutcome
			for _, a := range c.requests {
				got, _, _ = claim.Keeper{}.Decide(&b, a, now)
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
	if !k.Forget(&b, afterRetention) {
		t.Fatal("got no claim removed, want one")
	}
	// The horizon must also reject the ID on a keeper with a slow clock.
	if got, _, _ := k.Decide(&b, newRequest("n2", "999999000-a", 2, false), now); got != lagoon.ClaimForgotten {
		t.Errorf("got outcome %d, want %d", got, lagoon.ClaimForgotten)
	}
}
