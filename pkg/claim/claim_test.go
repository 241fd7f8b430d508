package claim_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/claim"
)

func ask(from, request string, attempt uint64, void bool) lagoon.ClaimAsk {
	var a lagoon.ClaimAsk
	a.SetFrom(from)
	a.SetRequest(request)
	a.SetAttempt(attempt)
	a.SetVoid(void)
	return a
}

func TestDecide(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	const id = "999999000-a"
	cases := map[string]struct {
		asks []lagoon.ClaimAsk
		want lagoon.ClaimOutcome
	}{
		"first":                     {[]lagoon.ClaimAsk{ask("n1", id, 1, false)}, lagoon.ClaimGranted},
		"the same attempt again":    {[]lagoon.ClaimAsk{ask("n1", id, 1, false), ask("n1", id, 1, false)}, lagoon.ClaimGranted},
		"another attempt":           {[]lagoon.ClaimAsk{ask("n1", id, 1, false), ask("n2", id, 2, false)}, lagoon.ClaimHeld},
		"another node's attempt":    {[]lagoon.ClaimAsk{ask("n1", id, 1, false), ask("n2", id, 1, false)}, lagoon.ClaimHeld},
		"after a void":              {[]lagoon.ClaimAsk{ask("n1", id, 1, false), ask("n1", id, 1, true), ask("n2", id, 2, false)}, lagoon.ClaimGranted},
		"its own void":              {[]lagoon.ClaimAsk{ask("n1", id, 1, false), ask("n1", id, 1, true), ask("n1", id, 1, false)}, lagoon.ClaimHeld},
		"a void of another's":       {[]lagoon.ClaimAsk{ask("n1", id, 1, false), ask("n2", id, 2, true), ask("n2", id, 2, false)}, lagoon.ClaimHeld},
		"too old":                   {[]lagoon.ClaimAsk{ask("n1", "1000-a", 1, false)}, lagoon.ClaimForgotten},
		"from the future":           {[]lagoon.ClaimAsk{ask("n1", "9990000000000-a", 1, false)}, lagoon.ClaimForgotten},
		"without the time in front": {[]lagoon.ClaimAsk{ask("n1", "abc", 1, false)}, lagoon.ClaimForgotten},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var b lagoon.ClaimBucket
			var got lagoon.ClaimOutcome
			for _, a := range c.asks {
				got, _, _ = claim.Keeper{}.Decide(&b, a, now)
			}
			if got != c.want {
				t.Errorf("got outcome %d, want %d", got, c.want)
			}
		})
	}
}

func TestForgottenIDsAreNeverGranted(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	var b lagoon.ClaimBucket
	k := claim.Keeper{}
	k.Decide(&b, ask("n1", "999999000-a", 1, false), now)
	later := now.Add(claim.Retention)
	if !k.Forget(&b, later) {
		t.Fatal("got nothing forgotten, want the claim gone")
	}
	// A keeper whose clock is behind must not grant it either.
	if got, _, _ := k.Decide(&b, ask("n2", "999999000-a", 2, false), now); got != lagoon.ClaimForgotten {
		t.Errorf("got outcome %d, want %d", got, lagoon.ClaimForgotten)
	}
}
