// Package journl keeps decisions: as log lines in JSON, and the latest ones in
// memory for explain.
//
// # Usage
//
//	j := journl.New(log)
//	go j.Serve(ctx)              // writes the lines
//	j.Note(decision)             // never blocks
//	found := j.Find(func(d lagoon.Decision) bool { return d.Query() == id })
//
// A decision that finds the queue full is dropped and counted, so a slow disk
// or pipe never holds up a query.
package journl

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/lagoontrail/lagoon"
)

// Sizes of the queue and of the memory, in decisions.
const (
	queueSize  = 8192
	memorySize = 16384
)

// Journal is a lagoon.Journal. Make it with New.
type Journal struct {
	log     *logrus.Logger
	queue   chan lagoon.Decision
	dropped atomic.Uint64
	counts  sync.Map

	mu     sync.Mutex
	memory []lagoon.Decision
	next   int
}

// New returns a journal that writes to log; a nil log writes nothing.
func New(log *logrus.Logger) *Journal {
	return &Journal{log: log, queue: make(chan lagoon.Decision, queueSize)}
}

// Note queues a decision.
func (j *Journal) Record(d lagoon.Decision) {
	select {
	case j.queue <- d:
	default:
		j.dropped.Add(1)
	}
}

// Dropped returns how many decisions found the queue full.
func (j *Journal) Dropped() uint64 { return j.dropped.Load() }

// Counts returns the number of decisions by kind.
func (j *Journal) Counts() map[string]uint64 {
	out := map[string]uint64{}
	j.counts.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Uint64).Load()
		return true
	})
	return out
}

// Serve writes decisions until ctx ends, then those still queued.
func (j *Journal) Serve(ctx context.Context) error {
	for {
		select {
		case d := <-j.queue:
			j.write(d)
		case <-ctx.Done():
			j.drain()
			return ctx.Err()
		}
	}
}

func (j *Journal) drain() {
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
	j.remember(d)
	if j.log == nil {
		return
	}
	fields := logrus.Fields{"node": d.Node(), "kind": d.Kind(), "subject": d.Subject(), "reason": d.Reason()}
	if d.RequestID() != "" {
		fields["query_id"] = d.RequestID()
	}
	j.log.WithTime(d.Time()).WithFields(fields).Info("decision")
}

func (j *Journal) remember(d lagoon.Decision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.memory) < memorySize {
		j.memory = append(j.memory, d)
		return
	}
	j.memory[j.next] = d
	j.next = (j.next + 1) % memorySize
}

// Find returns the decisions in memory that match, oldest first.
func (j *Journal) Find(match func(lagoon.Decision) bool) []lagoon.Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []lagoon.Decision
	for i := range j.memory {
		d := j.memory[(j.next+i)%len(j.memory)]
		if match(d) {
			out = append(out, d)
		}
	}
	return out
}
