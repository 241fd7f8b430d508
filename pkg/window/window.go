// Package window keeps the distribution of recent durations in a sliding-window
// histogram.
//
// # Usage
//
//	var w window.Window
//	w.Record(duration, now)
//	median := w.Quantile(50)
//
// The windows of the histogram are merged once per batch of records, because merging
// is more expensive than recording. Quantiles do not include records after the last
// merge.
package window

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histogram.
const (
	windows           = 6
	maxMicros         = 10_000_000  // longer durations are recorded as this value
	significantDigits = 2           // limits the error of a quantile to 1%
	windowLength      = time.Second // quantiles cover the last 6 s
	mergeBatch        = 16          // records between two merges
)

// Window is a distribution of durations. The zero value is empty.
type Window struct {
	histogram         *hdr.WindowedHistogram
	merged            *hdr.Histogram
	shortest          time.Duration // of merged
	rotatedAt         time.Duration
	recordsSinceMerge int
	cache             []quantile
}

// quantile is a cached result of Quantile.
type quantile struct {
	percent float64
	value   time.Duration
}

// Record adds a duration.
func (w *Window) Record(duration, now time.Duration) {
	if w.histogram == nil {
		w.histogram = hdr.NewWindowed(windows, 1, maxMicros, significantDigits)
		w.rotatedAt = now
	}
	if err := w.histogram.Current.RecordValue(min(max(duration.Microseconds(), 1), maxMicros)); err != nil {
		panic(err) // unreachable: the value is within the range of the histogram
	}
	w.recordsSinceMerge++
	if now-w.rotatedAt >= windowLength {
		w.histogram.Rotate()
		w.rotatedAt = now
	}
	if w.merged == nil || w.recordsSinceMerge >= mergeBatch {
		w.recordsSinceMerge = 0
		w.merged = w.histogram.Merge()
		w.shortest = time.Duration(w.merged.Min()) * time.Microsecond
		w.cache = w.cache[:0]
	}
}

// Ready reports whether there are enough records for quantiles.
func (w *Window) Ready() bool { return w.merged != nil && w.merged.TotalCount() >= mergeBatch }

// Quantile returns the given percentile of the durations, or 0 if there are
// none.
func (w *Window) Quantile(percent float64) time.Duration {
	if w.merged == nil {
		return 0
	}
	for _, q := range w.cache {
		if q.percent == percent {
			return q.value
		}
	}
	value := time.Duration(w.merged.ValueAtQuantile(percent)) * time.Microsecond
	w.cache = append(w.cache, quantile{percent, value})
	return value
}

// Min returns the shortest of the durations, or 0 if there are none.
func (w *Window) Min() time.Duration { return w.shortest }
