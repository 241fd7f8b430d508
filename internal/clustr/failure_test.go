package clustr_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/clustr"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/simplt"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// query sends one query to the cluster and returns its answer.
func query(t *testing.T, c *clustr.Cluster, q lagoon.Query) lagoon.Answer {
	t.Helper()
	client, stop := caller.New("cph-1", c.Addrs()...)
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := client.Query(ctx, q)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// readQuery returns an idempotent query.
func readQuery(service string) lagoon.Query {
	var q lagoon.Query
	q.SetService(service)
	q.SetIdempotent(true)
	return q
}

func TestZoneTakenOutGetsNoNewWork(t *testing.T) {
	c := startCluster(t, "small", 3)
	startedAt := time.Now()
	zoneOut, err := c.Change(context.Background(), 1, "zone", "cph-2", c.ZoneVersion(1, "cph-2"), map[string]string{"state": "out", "reason": "test"})
	if err != nil || !zoneOut.InForce() {
		t.Fatalf("got error %v and in force %v, want none and true", err, zoneOut.InForce())
	}
	inForceAt := time.Now()
	for range 20 {
		if got, want := query(t, c, readQuery("archive-desk")).Outcome(), lagoon.OutcomeAnswered; got != want {
			t.Errorf("outcome while a zone is out: got %v, want %v", got, want)
		}
	}
	for _, s := range c.Config(0).Services() {
		for _, spec := range s.Servers() {
			if lastAdmitted := c.Servers()[spec.Name()].LastAdmitted(); spec.Zone() == "cph-2" && lastAdmitted.After(inForceAt) {
				t.Errorf("%s: admitted its last request %v after the change was sent, want none once it is in force", spec.Name(), lastAdmitted.Sub(startedAt))
			}
		}
	}
	stale, err := c.Change(context.Background(), 0, "zone", "cph-2", 1, map[string]string{"state": "in", "reason": "test"})
	if err != nil || !stale.Conflict() || stale.Version() != zoneOut.Version() {
		t.Errorf("change with a stale version: got error %v, conflict %v, version %d; want none, true, %d", err, stale.Conflict(), stale.Version(), zoneOut.Version())
	}
}

func TestInvalidChangesAreRefused(t *testing.T) {
	c := startCluster(t, "small", 2)
	cases := map[string]struct {
		kind, name string
		body       any
		want       string
	}{
		"unknown kind":                   {"colour", "red", map[string]any{}, "kind"},
		"unknown state":                  {"zone", "cph-1", map[string]any{"state": "sideways"}, "state"},
		"rule for an undeclared service": {"rule", "r", map[string]any{"service": "nothing"}, "not declared"},
		"min_coverage above 1":           {"rule", "r2", map[string]any{"service": "archive-desk", "min_coverage": 2}, "min_coverage"},
		"service without shards":         {"service", "s", map[string]any{"map_version": 1}, "shards"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			version := uint64(0)
			if tc.kind == "zone" {
				version = c.ZoneVersion(0, tc.name)
			}
			result, err := c.Change(context.Background(), 0, tc.kind, tc.name, version, tc.body)
			if err != nil {
				t.Fatal(err)
			}
			if result.Accepted() || !strings.Contains(result.Reason(), tc.want) {
				t.Errorf("got accepted %v and %q, want a refusal that contains %q", result.Accepted(), result.Reason(), tc.want)
			}
		})
	}
}

// A query that is not idempotent runs at most once while the platform loses
// responses, fails or is slow, also when the caller resends it to another node. The
// outcome not_run is never returned for a query that ran.
func TestBookingRunsAtMostOnce(t *testing.T) {
	c := startCluster(t, "small", 3)
	client, stop := caller.New("cph-1", c.Addrs()...)
	defer stop()
	for i, faults := range []int{0, simplt.LostReplies, simplt.Outage, simplt.Slow, 0} {
		c.Platform().SetFaults(faults)
		var q lagoon.Query
		q.SetID(client.NewID())
		q.SetService("casting-book")
		q.SetBody([]byte(fmt.Sprintf("booking %d", i)))
		q.SetTimeout(1500 * time.Millisecond)
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			a, err := client.Query(ctx, q)
			cancel()
			runs := 0
			for _, s := range c.Servers() {
				runs += s.RunsByBody()[string(q.Body())]
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

// Guards against the answer to another query, or the response for another shard, when nodes restart
// at the same address and number their queries from the start again: entry nodes and owners.
func TestAnswersAreTheOwnOnesWhileNodesRestart(t *testing.T) {
	const clients, restarts = 8, 2
	c := startCluster(t, "small", 3)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var answered atomic.Int64
	ask := func(client *caller.Client, id string) {
		q := readQuery("archive-desk")
		q.SetID(id)
		queryCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		a, err := client.Query(queryCtx, q)
		if err != nil {
			return // the node was killed
		}
		if got := a.ID(); got != id {
			t.Errorf("got the answer to %q, want that to %q", got, id)
		}
		for _, p := range a.Parts() {
			answered.Add(1)
			if got, want := string(p.Body()), fmt.Sprintf("/%d/", p.Shard()); !strings.HasPrefix(got, "archive-desk") || !strings.Contains(got, want) {
				t.Errorf("%s, shard %d: got %q, want archive-desk and %q", id, p.Shard(), got, want)
			}
		}
	}
	for i := range clients {
		client, stop := caller.New("cph-1", c.Addrs()...)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer stop()
			for n := 0; ctx.Err() == nil; n++ {
				ask(client, fmt.Sprintf("%d-%d", i, n))
			}
		}()
	}
	for range restarts {
		for i := range c.Nodes() {
			c.KillNode(i)
			time.Sleep(100 * time.Millisecond)
			if err := c.StartNode(i); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
	}
	cancel()
	wg.Wait()
	if answered.Load() == 0 {
		t.Error("got no parts, want some")
	}
}

// Guards against goroutines that outlive the deployment, also when one of its nodes
// was stopped earlier.
func TestStopLeaksNoGoroutine(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	d, err := deploy.Named("small")
	if err != nil {
		t.Fatal(err)
	}
	c, stop, err := clustr.Start(d, 2, 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		t.Error(err)
	}
	c.StopNode(0)
	stop()
	goleak.VerifyNone(t, ignore, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}
