// Package memuse samples the memory that the objects of this process take, for tests that
// bound it.
//
// # Usage
//
//	peak := memuse.Watch()
//	...                       // what must take little memory
//	if got := peak(); got > maxMemory { ... }
package memuse

import (
	"runtime"
	"sync"
	"time"
)

// sampleInterval is the time between two samples. Endless content takes some megabytes
// meanwhile.
const sampleInterval = 2 * time.Millisecond

// Watch starts to sample the memory in use. The function that it returns ends that and
// returns the largest increase, in bytes.
func Watch() (peak func() uint64) {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, largest := stats.HeapInuse, uint64(0)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			runtime.ReadMemStats(&stats)
			largest = max(largest, stats.HeapInuse-min(stats.HeapInuse, before))
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return func() uint64 {
		close(done)
		wg.Wait()
		return largest
	}
}
