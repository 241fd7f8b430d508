package sys_test

import (
	"testing"
	"time"
)

// BenchmarkGather measures the decisions on one request to ten shards.
func BenchmarkGather(b *testing.B) {
	s := newSim(b, 1)
	s.publish(look(s.shards(10, 20*time.Millisecond)))
	b.ReportAllocs()
	for b.Loop() {
		s.ask()
		s.until(s.now + 100*time.Millisecond)
	}
}
