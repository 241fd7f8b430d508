// Package recent keeps the distribution of the latest durations of one kind.
//
// # Usage
//
//	var d recent.Delays
//	d.Record(took, now)
//	median := d.Quantile(50)
//
// Quantiles are computed at most once for each batch of records, as merging the
// windows of the histogram costs more than recording.
package recent

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Sizes of the histogram. Two digits keep the error of a quantile at 1%.
const (
	windows     = 6
	slowest     = 10_000_000 // microseconds; longer durations count as this
	digits      = 2
	rotateEvery = time.Second // a quantile is over the last 6 s
	batch       = 16          // records between two computations of quantiles
)

// Delays is the distribution. The zero value is empty.
type Delays struct {
	recent  *hdr.WindowedHistogram
	merged  *hdr.Histogram
	rotated time.Duration
	since   int
	asked   []answer
}

// answer is a quantile that was computed since the last merge.
type answer struct {
	percent float64
	value   time.Duration
}

// Record adds one duration.
func (d *Delays) Record(took, now time.Duration) {
	if d.recent == nil {
		d.recent = hdr.NewWindowed(windows, 1, slowest, digits)
		d.rotated = now
	}
	if err := d.recent.Current.RecordValue(min(max(took.Microseconds(), 1), slowest)); err != nil {
		panic(err) // the value is within the histogram's bounds
	}
	d.since++
	if now-d.rotated >= rotateEvery {
		d.recent.Rotate()
		d.rotated = now
	}
	if d.merged == nil || d.since >= batch {
		d.since = 0
		d.merged = d.recent.Merge()
		d.asked = d.asked[:0]
	}
}

// Known reports whether there are enough records for quantiles.
func (d *Delays) Known() bool { return d.merged != nil && d.merged.TotalCount() >= batch }

// Quantile returns the duration below which percent of the records are; 0
// without records.
func (d *Delays) Quantile(percent float64) time.Duration {
	if d.merged == nil {
		return 0
	}
	for _, a := range d.asked {
		if a.percent == percent {
			return a.value
		}
	}
	value := time.Duration(d.merged.ValueAtQuantile(percent)) * time.Microsecond
	d.asked = append(d.asked, answer{percent, value})
	return value
}
