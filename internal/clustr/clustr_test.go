package clustr_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/clustr"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// startCluster starts a named deployment and waits until it is ready.
func startCluster(t *testing.T, deployment string, nodes int) *clustr.Cluster {
	t.Helper()
	d, err := deploy.Named(deployment)
	if err != nil {
		t.Fatal(err)
	}
	c, stop, err := clustr.Start(d, nodes, 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestQueryEndToEnd(t *testing.T) {
	c := startCluster(t, "small", 3)
	client, stop := caller.New("cph-1", c.Addrs()...)
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var q lagoon.Query
	q.SetService("archive-desk")
	q.SetIdempotent(true)
	q.SetBody([]byte("red coat"))
	a, err := client.Query(ctx, q)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := a.Outcome(), lagoon.OutcomeAnswered; got != want {
		t.Errorf("outcome: got %v (%s), want %v", got, a.Reason(), want)
	}
	if got, want := len(a.Parts()), 5; got != want {
		t.Errorf("parts: got %d, want %d", got, want)
	}
	var booking lagoon.Query
	booking.SetID(client.NewID())
	booking.SetService("casting-book")
	booking.SetBody([]byte("model 7"))
	// The second query has the ID of the first, so that it is not run again.
	for i, want := range []lagoon.Outcome{lagoon.OutcomeAnswered, lagoon.OutcomeUnknown} {
		a, err := client.Query(ctx, booking)
		if err != nil {
			t.Fatal(err)
		}
		if got := a.Outcome(); got != want {
			t.Errorf("booking %d: got %v (%s), want %v", i, got, a.Reason(), want)
		}
	}
}

// Guards against a late copy of the answer to an earlier attempt that the caller cannot
// recognise, because the answer lacks the ID of the call.
func TestAnswersHaveCallID(t *testing.T) {
	c := startCluster(t, "small", 1)
	for _, body := range []string{`{"service":"archive-desk"}`, `{"service":"nothing"}`, `{}`} {
		req, err := http.NewRequest(http.MethodPost, "http://"+c.Addrs()[0]+"/v1/query", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Call-Id", "a-7")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if got, want := resp.Header.Get("X-Call-Id"), "a-7"; got != want {
			t.Errorf("%s: got call ID %q, want %q", body, got, want)
		}
	}
}
