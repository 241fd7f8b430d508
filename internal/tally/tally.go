// Package tally counts the results of a load: latencies, outcomes, and answers whose
// parts disagree with their snapshot or coverage.
//
// # Usage
//
//	t := tally.New()
//	t.Add(query, answer, err, latency)
//	p99 := t.Quantile(99)
package tally

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoontrail/lagoon"
)

// Parameters of the latency histograms.
const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Tally counts the results of queries. In its names, a read is an idempotent query
// and a write is one that is not. It is safe for concurrent use; create it with
// New.
type Tally struct {
	mu             sync.Mutex
	readLatency    *hdr.Histogram // of idempotent queries
	writeLatency   *hdr.Histogram // of queries that are not idempotent
	outcomes       map[string]int
	shards         int // requested by the queries that were answered in full or in part
	covered        int // of these, the shards covered by the answers
	hedges         int
	retries        int
	mixedSnapshots int
	coverageErrors int
	noAnswer       int
	reasons        map[string]int
	writes         map[string]lagoon.Outcome // of queries that are not idempotent, by body
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{readLatency: hdr.New(1, maxLatencyMicros, significantDigits), writeLatency: hdr.New(1, maxLatencyMicros, significantDigits), outcomes: map[string]int{}, reasons: map[string]int{}, writes: map[string]lagoon.Outcome{}}
}

// Add counts one query. Its latency starts at the time at which it was scheduled to
// be sent.
func (t *Tally) Add(query lagoon.Query, answer lagoon.Answer, err error, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if query.Idempotent() {
		_ = t.readLatency.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	} else {
		_ = t.writeLatency.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	}
	if err != nil {
		t.noAnswer++
		t.outcomes["error"]++
		t.reasons[err.Error()]++
		t.recordWrite(query, lagoon.OutcomeUnknown)
		return
	}
	t.outcomes[answer.Outcome().String()]++
	t.recordWrite(query, answer.Outcome())
	if answer.Reason() != "" {
		t.reasons[answer.Outcome().String()+": "+answer.Reason()]++
	}
	if answer.Outcome() != lagoon.OutcomeAnswered && answer.Outcome() != lagoon.OutcomePartial {
		return
	}
	t.shards += answer.TotalShards()
	t.covered += answer.TotalShards() - len(answer.Missing())
	t.hedges += answer.Hedges()
	t.retries += answer.Retries()
	t.verify(answer)
}

// recordWrite records the outcome of a query that is not idempotent. The outcome of a
// resent query replaces only unknown and not_run.
func (t *Tally) recordWrite(query lagoon.Query, outcome lagoon.Outcome) {
	if query.Idempotent() {
		return
	}
	if previous, ok := t.writes[string(query.Body())]; !ok || previous == lagoon.OutcomeUnknown || previous == lagoon.OutcomeNotRun {
		t.writes[string(query.Body())] = outcome
	}
}

// verify checks that all parts of an answer are from its snapshot, and that its parts
// and missing shards name each shard once.
func (t *Tally) verify(answer lagoon.Answer) {
	seen := map[uint32]bool{}
	suffix := []byte(fmt.Sprintf("/%d", answer.Snapshot().IndexVersion()))
	for _, part := range answer.Parts() {
		if !bytes.HasSuffix(part.Body(), suffix) {
			t.mixedSnapshots++
		}
		if !bytes.Contains(part.Body(), []byte(fmt.Sprintf("/%d/", part.Shard()))) || seen[part.Shard()] {
			t.coverageErrors++
		}
		seen[part.Shard()] = true
	}
	for _, shard := range answer.Missing() {
		if seen[shard.Shard()] {
			t.coverageErrors++
		}
		seen[shard.Shard()] = true
	}
	// A partial answer below the minimum coverage omits its parts.
	partsWithheld := len(answer.Parts()) == 0 && answer.Outcome() == lagoon.OutcomePartial
	if len(seen) != answer.TotalShards() && !partsWithheld {
		t.coverageErrors++
	}
}

// WriteQuantile returns a latency percentile (0 to 100) of the queries that are not
// idempotent, in milliseconds.
func (t *Tally) WriteQuantile(percentile float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.writeLatency.ValueAtQuantile(percentile)) / 1000
}

// Quantile returns a latency percentile (0 to 100) of the idempotent queries, in
// milliseconds.
func (t *Tally) Quantile(percentile float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.readLatency.ValueAtQuantile(percentile)) / 1000
}

// Count returns the number of queries with an outcome; "error" stands for no answer.
func (t *Tally) Count(outcome string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcomes[outcome]
}

// Total returns the number of queries.
func (t *Tally) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.readLatency.TotalCount() + t.writeLatency.TotalCount())
}

// Coverage returns the share of requested shards that answers covered, 0 to 1.
func (t *Tally) Coverage() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shards == 0 {
		return 0
	}
	return float64(t.covered) / float64(t.shards)
}

// HedgePercent returns the hedges in percent of the requested shards.
func (t *Tally) HedgePercent() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return percent(t.hedges, t.shards)
}

// RetryPercent returns the retries in percent of the requested shards.
func (t *Tally) RetryPercent() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return percent(t.retries, t.shards)
}

func percent(count, total int) float64 { return 100 * float64(count) / float64(max(total, 1)) }

// MixedSnapshots returns the number of parts from another snapshot than their
// answer's.
func (t *Tally) MixedSnapshots() int { t.mu.Lock(); defer t.mu.Unlock(); return t.mixedSnapshots }

// CoverageErrors returns the number of errors in the coverage that answers state.
func (t *Tally) CoverageErrors() int { t.mu.Lock(); defer t.mu.Unlock(); return t.coverageErrors }

// NoAnswer returns the number of queries that got no answer.
func (t *Tally) NoAnswer() int { t.mu.Lock(); defer t.mu.Unlock(); return t.noAnswer }

// Reasons returns the number of occurrences of each error and of each reason in an
// answer.
func (t *Tally) Reasons() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for k, v := range t.reasons {
		out[k] = v
	}
	return out
}

// WriteOutcomes returns the outcome of each query that is not idempotent, by body.
func (t *Tally) WriteOutcomes() map[string]lagoon.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]lagoon.Outcome{}
	for k, v := range t.writes {
		out[k] = v
	}
	return out
}
