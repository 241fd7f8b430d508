package rig_test

import (
	"context"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/rig"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

func start(t *testing.T, name string, nodes int) *rig.Rig {
	t.Helper()
	d, err := deploy.Named(name)
	if err != nil {
		t.Fatal(err)
	}
	r, stop, err := rig.Start(d, nodes, 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := r.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestWholePath(t *testing.T) {
	r := start(t, "small", 3)
	c, stop := caller.New("cph-1", r.Addrs()...)
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var q lagoon.Query
	q.SetService("archive-desk")
	q.SetIdempotent(true)
	q.SetBody([]byte("red coat"))
	a, err := c.Query(ctx, q)
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
	booking.SetID(c.NewID())
	booking.SetService("casting-book")
	booking.SetBody([]byte("model 7"))
	for i, want := range []lagoon.Outcome{lagoon.OutcomeAnswered, lagoon.OutcomeUnknown} {
		a, err := c.Query(ctx, booking)
		if err != nil {
			t.Fatal(err)
		}
		if got := a.Outcome(); got != want {
			t.Errorf("booking %d: got %v (%s), want %v", i, got, a.Reason(), want)
		}
	}
}
