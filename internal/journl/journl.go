// Package journl writes decisions to the log and keeps the most recent ones in
// memory, to explain past requests.
//
// # Usage
//
//	j := journl.New(log)
//	go j.Serve(ctx)              // writes the log lines
//	j.Record(decision)           // never blocks
//	found := j.Find(func(d lagoon.Decision) bool { return d.RequestID() == id })
//
// When the queue is full, decisions are dropped and counted, so that a slow disk
// or pipe does not delay requests.
package journl

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/lagoontrail/lagoon"
)

// Capacities, in decisions.
const (
	queueSize  = 8192
	recentSize = 16384
)

// Journal implements lagoon.Journal. Create it with New.
type Journal struct {
	log     *logrus.Logger
	queue   chan lagoon.Decision
	dropped atomic.Uint64
	counts  sync.Map // from a decision kind to its *atomic.Uint64

	mu     sync.Mutex
	recent []lagoon.Decision // a ring buffer once it has recentSize decisions
	oldest int               // the index of the oldest decision in recent
}

// New returns a journal that writes to log. If log is nil, decisions are only
// counted and held in memory.
func New(log *logrus.Logger) *Journal {
	return &Journal{log: log, queue: make(chan lagoon.Decision, queueSize)}
}

// Record queues a decision.
func (j *Journal) Record(d lagoon.Decision) {
	select {
	case j.queue <- d:
	default:
		j.dropped.Add(1)
	}
}

// Dropped returns the number of decisions that were dropped because the queue was
// full.
func (j *Journal) Dropped() uint64 { return j.dropped.Load() }

// Counts returns the number of decisions of each kind.
func (j *Journal) Counts() map[string]uint64 {
	out := map[string]uint64{}
	j.counts.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Uint64).Load()
		return true
	})
	return out
}

// Serve writes decisions until ctx is done, and then those that are still queued.
func (j *Journal) Serve(ctx context.Context) error {
	for {
		select {
		case d := <-j.queue:
			j.write(d)
		case <-ctx.Done():
			j.flush()
			return ctx.Err()
		}
	}
}

func (j *Journal) flush() {
	for {
		select {
		case d := <-j.queue:
			j.write(d)
		default:
			return
		}
	}
}

func (j *Journal) write(d lagoon.Decision) {
	count, _ := j.counts.LoadOrStore(d.Kind(), &atomic.Uint64{})
	count.(*atomic.Uint64).Add(1)
	j.addRecent(d)
	if j.log == nil {
		return
	}
	fields := logrus.Fields{"node": d.Node(), "kind": d.Kind(), "subject": d.Subject(), "reason": d.Reason()}
	if d.RequestID() != "" {
		fields["query_id"] = d.RequestID()
	}
	j.log.WithTime(d.Time()).WithFields(fields).Info("decision")
}

func (j *Journal) addRecent(d lagoon.Decision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.recent) < recentSize {
		j.recent = append(j.recent, d)
		return
	}
	j.recent[j.oldest] = d
	j.oldest = (j.oldest + 1) % recentSize
}

// Find returns the recent decisions for which match returns true, oldest first.
func (j *Journal) Find(match func(lagoon.Decision) bool) []lagoon.Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []lagoon.Decision
	for i := range j.recent {
		d := j.recent[(j.oldest+i)%len(j.recent)]
		if match(d) {
			out = append(out, d)
		}
	}
	return out
}
