// Package outcm holds what a load saw: latencies, outcomes, and whether answers
// were what they claimed to be.
//
// # Usage
//
//	t := outcm.New()
//	t.Add(q, answer, err, took)
//	p99 := t.Quantile(99)
package outcm

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoontrail/lagoon"
)

// Bounds of recorded latencies, in microseconds.
const (
	slowest = 60_000_000
	digits  = 3
)

// Tally counts outcomes. Make it with New. It is safe for use by several
// goroutines.
type Tally struct {
	mu       sync.Mutex
	latency  *hdr.Histogram // of idempotent queries
	writing  *hdr.Histogram // of the others
	outcomes map[string]int
	legs     int
	covered  int
	hedges   int
	retries  int
	mixed    int
	untrue   int
	cutOff   int
	reasons  map[string]int
	writes   map[string]lagoon.Outcome
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{latency: hdr.New(1, slowest, digits), writing: hdr.New(1, slowest, digits), outcomes: map[string]int{}, reasons: map[string]int{}, writes: map[string]lagoon.Outcome{}}
}

// Add counts one query that ended after a time, measured from when it was to
// be sent.
func (t *Tally) Add(q lagoon.Query, a lagoon.Answer, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Idempotent() {
		_ = t.latency.RecordValue(min(took.Microseconds(), slowest))
	} else {
		_ = t.writing.RecordValue(min(took.Microseconds(), slowest))
	}
	if err != nil {
		t.cutOff++
		t.outcomes["error"]++
		t.reasons[err.Error()]++
		t.keepWrite(q, lagoon.OutcomeUnknown)
		return
	}
	t.outcomes[a.Outcome().String()]++
	t.keepWrite(q, a.Outcome())
	if a.Reason() != "" {
		t.reasons[a.Outcome().String()+": "+a.Reason()]++
	}
	if a.Outcome() != lagoon.OutcomeAnswered && a.Outcome() != lagoon.OutcomePartial {
		return
	}
	t.legs += a.TotalShards()
	t.covered += a.TotalShards() - len(a.Missing())
	t.hedges += a.Hedges()
	t.retries += a.Retries()
	t.verify(a)
}

// keepWrite keeps the outcome of a request that is not idempotent. The first
// clear outcome of an id stays.
func (t *Tally) keepWrite(q lagoon.Query, o lagoon.Outcome) {
	if q.Idempotent() {
		return
	}
	if before, ok := t.writes[string(q.Body())]; !ok || before == lagoon.OutcomeUnknown || before == lagoon.OutcomeNotRun {
		t.writes[string(q.Body())] = o
	}
}

// verify checks that an answer is from one snapshot and covers what it says.
func (t *Tally) verify(a lagoon.Answer) {
	seen := map[uint32]bool{}
	suffix := []byte(fmt.Sprintf("/%d", a.Snapshot().IndexVersion()))
	for _, p := range a.Parts() {
		if !bytes.HasSuffix(p.Body(), suffix) {
			t.mixed++
		}
		if !bytes.Contains(p.Body(), []byte(fmt.Sprintf("/%d/", p.Shard()))) || seen[p.Shard()] {
			t.untrue++
		}
		seen[p.Shard()] = true
	}
	for _, g := range a.Missing() {
		if seen[g.Shard()] {
			t.untrue++
		}
		seen[g.Shard()] = true
	}
	withheld := len(a.Parts()) == 0 && a.Outcome() == lagoon.OutcomePartial
	if len(seen) != a.TotalShards() && !withheld {
		t.untrue++
	}
}

// WriteQuantile returns a latency quantile of the queries that are not
// idempotent, 0 to 100, in milliseconds.
func (t *Tally) WriteQuantile(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.writing.ValueAtQuantile(q)) / 1000
}

// Quantile returns a latency quantile of the idempotent queries, 0 to 100, in
// milliseconds.
func (t *Tally) Quantile(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.latency.ValueAtQuantile(q)) / 1000
}

// Count returns the number of queries of an outcome; "error" counts those
// without an answer.
func (t *Tally) Count(outcome string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcomes[outcome]
}

// Total returns the number of queries.
func (t *Tally) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.latency.TotalCount() + t.writing.TotalCount())
}

// Coverage returns the mean share of shards covered in answers, 0 to 1.
func (t *Tally) Coverage() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.legs == 0 {
		return 0
	}
	return float64(t.covered) / float64(t.legs)
}

// HedgePercent returns the hedges in percent of the shards asked.
func (t *Tally) HedgePercent() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return percent(t.hedges, t.legs)
}

// RetryPercent returns the requests sent again in percent of the shards asked.
func (t *Tally) RetryPercent() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return percent(t.retries, t.legs)
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// Mixed returns the number of parts that came from another snapshot than the
// answer names.
func (t *Tally) Mixed() int { t.mu.Lock(); defer t.mu.Unlock(); return t.mixed }

// Untrue returns the number of faults in what answers say that they cover.
func (t *Tally) Untrue() int { t.mu.Lock(); defer t.mu.Unlock(); return t.untrue }

// CutOff returns the number of queries that got no answer.
func (t *Tally) CutOff() int { t.mu.Lock(); defer t.mu.Unlock(); return t.cutOff }

// Reasons returns how often each reason was given.
func (t *Tally) Reasons() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for k, v := range t.reasons {
		out[k] = v
	}
	return out
}

// Writes returns the outcome of each request that is not idempotent, by body.
func (t *Tally) Writes() map[string]lagoon.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]lagoon.Outcome{}
	for k, v := range t.writes {
		out[k] = v
	}
	return out
}
