package rig_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/rig"
	"github.com/lagoontrail/lagoon/internal/stdplt"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

func ask(t *testing.T, r *rig.Rig, q lagoon.Query) lagoon.Answer {
	t.Helper()
	c, stop := caller.New("cph-1", r.Addrs()...)
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := c.Query(ctx, q)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func read(service string) lagoon.Query {
	var q lagoon.Query
	q.SetService(service)
	q.SetIdempotent(true)
	return q
}

func TestZoneTakenOutGetsNoNewWork(t *testing.T) {
	r := start(t, "small", 3)
	began := time.Now()
	o, err := r.Change(context.Background(), 1, "zone", "cph-2", r.ZoneVersion(1, "cph-2"), map[string]string{"state": "out", "reason": "test"})
	if err != nil || !o.InForce() {
		t.Fatalf("got error %v and in force %v, want none and true", err, o.InForce())
	}
	inForce := time.Now()
	for range 20 {
		if got, want := ask(t, r, read("archive-desk")).Outcome(), lagoon.OutcomeAnswered; got != want {
			t.Errorf("outcome with a zone out: got %v, want %v", got, want)
		}
	}
	for _, s := range r.Config(0).Services() {
		for _, spec := range s.Servers() {
			if last := r.Servers()[spec.Name()].LastNew(); spec.Zone() == "cph-2" && last.After(inForce) {
				t.Errorf("%s: got new work %v after the change was in force, want none", spec.Name(), last.Sub(began))
			}
		}
	}
	lost, err := r.Change(context.Background(), 0, "zone", "cph-2", 1, map[string]string{"state": "in", "reason": "test"})
	if err != nil || !lost.Conflict() || lost.Version() != o.Version() {
		t.Errorf("a change from an old version: got error %v, conflict %v, version %d; want none, true, %d", err, lost.Conflict(), lost.Version(), o.Version())
	}
}

func TestBadChangesAreRefused(t *testing.T) {
	r := start(t, "small", 2)
	cases := map[string]struct {
		kind, name string
		body       any
		want       string
	}{
		"unknown kind":       {"colour", "red", map[string]any{}, "kind"},
		"unknown state":      {"zone", "cph-1", map[string]any{"state": "sideways"}, "state"},
		"rule for nothing":   {"rule", "r", map[string]any{"service": "nothing"}, "not declared"},
		"coverage above one": {"rule", "r2", map[string]any{"service": "archive-desk", "min_coverage": 2}, "min_coverage"},
		"service, no shards": {"service", "s", map[string]any{"map_version": 1}, "shards"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			version := uint64(0)
			if c.kind == "zone" {
				version = r.ZoneVersion(0, c.name)
			}
			o, err := r.Change(context.Background(), 0, c.kind, c.name, version, c.body)
			if err != nil {
				t.Fatal(err)
			}
			if o.Accepted() || !strings.Contains(o.Reason(), c.want) {
				t.Errorf("got accepted %v and %q, want a refusal that names %q", o.Accepted(), o.Reason(), c.want)
			}
		})
	}
}

// A booking under lost replies and an outage runs at most once, and not_run is
// never said of one that ran, also when it is sent again elsewhere.
func TestBookingRunsAtMostOnce(t *testing.T) {
	r := start(t, "small", 3)
	c, stop := caller.New("cph-1", r.Addrs()...)
	defer stop()
	for i, faults := range []int{0, stdplt.LostReplies, stdplt.Outage, stdplt.Slow, 0} {
		r.Platform().SetFaults(faults)
		var q lagoon.Query
		q.SetID(c.NewID())
		q.SetService("casting-book")
		q.SetBody([]byte(fmt.Sprintf("booking %d", i)))
		q.SetTimeout(1500 * time.Millisecond)
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			a, err := c.Query(ctx, q)
			cancel()
			runs := 0
			for _, s := range r.Servers() {
				runs += s.Runs()[string(q.Body())]
			}
			if runs > 1 {
				t.Errorf("booking %d: got %d runs, want at most one", i, runs)
			}
			if err == nil && a.Outcome() == lagoon.OutcomeNotRun && runs > 0 {
				t.Errorf("booking %d: got not_run (%s) after %d runs, want another outcome", i, a.Reason(), runs)
			}
		}
	}
}

// Everything that a deployment starts is gone after its clean-up function.
func TestStopLeavesNothing(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	d, err := deploy.Named("small")
	if err != nil {
		t.Fatal(err)
	}
	r, stop, err := rig.Start(d, 2, 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := r.Ready(ctx); err != nil {
		t.Error(err)
	}
	r.StopNode(0)
	stop()
	goleak.VerifyNone(t, ignore, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}
