// Package ratios counts the ratios of measured to predicted costs.
//
// # Usage
//
//	h.Observe(measured.Seconds() / predicted.Seconds())
//	buckets, count, sum := h.Read() // for the metrics page, from any goroutine
package ratios

import (
	"math"
	"sync/atomic"
)

// bounds are the upper bounds of the buckets.
var bounds = [...]float64{0.25, 0.5, 0.8, 1.25, 2, 4, 8}

// Histogram is a histogram of ratios. The zero value is empty. One goroutine calls Observe.
type Histogram struct {
	counts  [len(bounds) + 1]atomic.Uint64
	sumBits atomic.Uint64
}

// Observe adds a ratio.
func (h *Histogram) Observe(ratio float64) {
	i := 0
	for i < len(bounds) && ratio > bounds[i] {
		i++
	}
	h.counts[i].Add(1)
	h.sumBits.Store(math.Float64bits(math.Float64frombits(h.sumBits.Load()) + ratio))
}

// Read returns the number of ratios up to each bound, the number of all, and their sum.
func (h *Histogram) Read() (buckets map[float64]uint64, count uint64, sum float64) {
	buckets = make(map[float64]uint64, len(bounds))
	for i, bound := range bounds {
		count += h.counts[i].Load()
		buckets[bound] = count
	}
	return buckets, count + h.counts[len(bounds)].Load(), math.Float64frombits(h.sumBits.Load())
}
