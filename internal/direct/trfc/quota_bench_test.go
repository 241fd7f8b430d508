package trfc_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/orgs"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/quota"
)

// newOrganisations returns organisations with a quota and one key of 32 bytes each, and the keys.
func newOrganisations(n int) (declared []lagoon.Organisation, keys []string) {
	for i := range n {
		key := fmt.Sprintf("%032d", i)
		o := newOrganisation(fmt.Sprintf("organisation-%05d", i), key, 1)
		o.SetRatePerSecond(100)
		o.SetBurst(100)
		declared, keys = append(declared, o), append(keys, key)
	}
	return declared, keys
}

// BenchmarkKeyAndQuota measures what the key and the quota add to a request that finds a token.
func BenchmarkKeyAndQuota(b *testing.B) {
	for _, n := range []int{83, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSim(b, 1)
			s.publish(gatherRoute(s.addShards(1, time.Millisecond)))
			declared, keys := newOrganisations(n)
			s.identify(nil, declared...)
			s.tick()
			s.loop.SetAskTokens(func(any) bool { return true })
			for _, o := range declared {
				var req reqs.Row
				quota.Take(s.loop, 0, &req, &o, s.now)
				var share lagoon.QuotaShare
				share.SetOrganisation(o.Name())
				share.SetTokens(10)
				grant := &lagoon.QuotaGrant{}
				grant.SetValidFor(time.Hour)
				grant.SetShares([]lagoon.QuotaShare{share})
				s.tick(grant)
			}
			v := s.publishedView.Load()
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 7919) % n
				var req reqs.Row
				o := v.FindOrganisation(keys[i])
				req.SetOrganisation(o.Name())
				if !quota.Take(s.loop, 0, &req, o, s.now) {
					b.Fatal("got no token, want one")
				}
				quota.Return(s.loop, &req, s.now)
			}
		})
	}
}

// TestMemoryOfIdleOrganisations guards against memory that organisations take on a node which they
// send nothing to: their declaration and the index of keys and names.
func TestMemoryOfIdleOrganisations(t *testing.T) {
	const n, most = 10000, 200
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	declared, _ := newOrganisations(n)
	index := orgs.New(declared)
	after := heap()
	if got := float64(after-before) / n; got > most {
		t.Errorf("got %.0f bytes for each organisation, want at most %d", got, most)
	} else {
		t.Logf("%.0f bytes for each organisation", got)
	}
	runtime.KeepAlive(declared)
	runtime.KeepAlive(index)
}

// TestIdleOrganisationsAreForgotten guards against memory that grows with the organisations that
// have ever sent a request.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	n := newQuotaNode(t, 2000, 1)
	n.grant = all
	for i := range 2000 {
		n.submitWithKey(fmt.Sprint("k-", i))
		n.runUntil(n.now + time.Millisecond)
	}
	for range 6000 { // one organisation goes on for a minute
		n.submitWithKey("k-0")
		n.runUntil(n.now + 10*time.Millisecond)
	}
	if got, most := n.loop.Usage().Len(), 100; got > most {
		t.Errorf("got %d organisations with state a minute later, want at most %d", got, most)
	}
}
