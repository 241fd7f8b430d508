// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package trfc_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// newKindsBed returns a test bed whose nodes use the cost model, with other kinds of requests.
func newKindsBed(t *testing.T, seed uint64, kinds ...kind) *bed {
	b := newModelBed(t, seed, 4)
	b.kinds = kinds
	var services []string
	for i := range bedShards {
		services = append(services, fmt.Sprintf("shard-%d", i))
	}
	for _, s := range b.nodes {
		s.publishKinds(kinds, services)
	}
	return b
}

// Guards against costly requests that hold all slots of a service while cheap and more urgent
// ones wait: bursts of the costly ones fill all slots. The same load in which both are equally
// urgent shows what the cheap ones would get.
func TestCostlyRequestsLeaveSlotsToUrgentOnes(t *testing.T) {
	means := [2]time.Duration{}
	for seed := range uint64(3) {
		for i, priority := range []int{0, 2} {
			check, plan := kinds[1], kinds[2]
			plan.perSecond, plan.priority = 25*bedShards, priority
			b := newKindsBed(t, seed, check, plan)
			b.bursts = true
			b.run(seed, bedLength)
			f := b.figuresOf(check)
			t.Logf("seed %d, costly requests of rank %d: check %s", seed, priority, f)
			t.Logf("seed %d, costly requests of rank %d: plan  %s", seed, priority, b.figuresOf(plan))
			means[i] += f.mean / 3
		}
	}
	t.Logf("mean of the urgent requests: %s if the others are as urgent, %s if they are less urgent", means[0], means[1])
	if limit := means[0] * 19 / 20; means[1] > limit {
		t.Errorf("mean of the urgent requests: got %s, want at most %s", means[1], limit)
	}
}

// Guards against attempts that no server can finish before the deadline of their requests. Their
// callers get no response, and other requests wait for them: all servers become eight times
// slower, so that costly requests with 250 ms cannot be served any more.
func TestAttemptsThatCannotFinishAreNotSent(t *testing.T) {
	check, plan := kinds[1], kinds[2]
	plan.timeout, plan.perSecond = 250*time.Millisecond, 6*bedShards
	b := newKindsBed(t, 1, check, plan)
	for _, zone := range []string{"a", "b", "c"} {
		b.setPace(zone, func(p *pace) { p.slowShare, p.slowFactor, p.slowFrom = 1, 8, 4*time.Second })
	}
	b.run(1, bedLength)
	requests, refused, unserved := 0.0, 0.0, 0.0
	for _, s := range b.nodes {
		for _, q := range s.completed {
			if q.path != "/plan/" || q.started < 5*time.Second {
				continue
			}
			requests++
			switch q.response.Outcome() {
			case lagoon.RequestRefused:
				refused++
			case lagoon.RequestServed:
			default:
				unserved++
			}
		}
	}
	t.Logf("of %.0f costly requests after the slowdown: %.3f refused, %.3f sent in vain; check %s", requests, refused/requests, unserved/requests, b.figuresOf(check))
	if share, limit := unserved/requests, 0.3; share > limit {
		t.Errorf("requests sent in vain: got a share of %.3f, want at most %.2f", share, limit)
	}
}
