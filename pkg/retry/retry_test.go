package retry_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/retry"
)

func TestRetry(t *testing.T) {
	cases := []struct {
		name      string
		refusals  int
		untried   bool
		remaining time.Duration
		wantDelay time.Duration
		wantRetry bool
	}{
		{"immediate on an untried server", 1, true, time.Second, 0, true},
		{"delayed on the same server", 1, false, time.Second, 2 * time.Millisecond, true},
		{"exponential delay", 3, false, time.Second, 8 * time.Millisecond, true},
		{"maximum delay", 6, false, time.Second, 32 * time.Millisecond, true},
		{"delay exceeds the remaining time", 3, false, 5 * time.Millisecond, 8 * time.Millisecond, false},
		{"maximum attempts reached", 7, true, time.Second, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var v lagoon.RetryView
			v.SetRefusals(c.refusals)
			v.SetUntriedLeft(c.untried)
			v.SetRemaining(c.remaining)
			v.SetJitter(0.5)
			delay, retry := retry.Policy{}.Retry(v)
			if retry != c.wantRetry {
				t.Errorf("retry: got %t, want %t", retry, c.wantRetry)
			}
			if delay != c.wantDelay {
				t.Errorf("delay: got %s, want %s", delay, c.wantDelay)
			}
		})
	}
}
