package clustr_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/clustr"
	"github.com/lagoontrail/lagoon/internal/deploy"
	"github.com/lagoontrail/lagoon/internal/htup"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// shards is the number of shards of the read service in the small deployment.
const shards = 5

// startFastCluster starts a small deployment whose servers respond within
// microseconds.
func startFastCluster(b *testing.B, nodes int) *clustr.Cluster {
	b.Helper()
	d, err := deploy.Named("small")
	if err != nil {
		b.Fatal(err)
	}
	c, stop, err := clustr.Start(d, nodes, 10, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stop)
	for _, s := range c.Servers() {
		s.SetSlowdown(0.001)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := c.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return c
}

func reportMetrics(b *testing.B) {
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "queries/s")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*shards), "us/leg")
}

// BenchmarkNode measures queries through one node over loopback.
func BenchmarkNode(b *testing.B) {
	c := startFastCluster(b, 1)
	client, stop := caller.New("cph-1", c.Addrs()...)
	defer stop()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Query(context.Background(), readQuery("archive-desk")); err != nil {
				b.Error(err)
			}
		}
	})
	reportMetrics(b)
}

// BenchmarkPlainFanOut is the baseline for BenchmarkNode: a goroutine for each
// shard calls a server directly, without a node and without any policy.
func BenchmarkPlainFanOut(b *testing.B) {
	c := startFastCluster(b, 1)
	upstream, stop := htup.New()
	defer stop()
	servers := c.Config(0).Services()[0].Servers()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			var wg sync.WaitGroup
			for shard := range shards {
				wg.Add(1)
				go func() {
					defer wg.Done()
					var call lagoon.Call
					call.SetAddr(servers[shard*3+n%3].Addr())
					call.SetService("archive-desk")
					call.SetShard(uint32(shard))
					call.SetSnapshot(lagoon.NewSnapshot(1, 1))
					call.SetTimeout(time.Second)
					upstream.Send(context.Background(), call)
				}()
			}
			wg.Wait()
		}
	})
	reportMetrics(b)
}
