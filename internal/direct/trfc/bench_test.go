package trfc_test

import (
	"testing"
	"time"
)

// BenchmarkGather measures the cost of routing one request to ten shards.
func BenchmarkGather(b *testing.B) {
	s := newSim(b, 1)
	s.publish(gatherRoute(s.addShards(10, 20*time.Millisecond)))
	b.ReportAllocs()
	for b.Loop() {
		s.submit()
		s.runUntil(s.now + 100*time.Millisecond)
	}
}
