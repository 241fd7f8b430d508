// Package timers provides a timer heap for table rows.
//
// # Usage
//
//	var h timers.Heap
//	h.Add(now+wait, timers.HedgeDelay, id)
//	for { kind, id, ok := h.Pop(now); if !ok { break } ... }
//
// Timers are not cancelled when their row is removed: Pop then returns an ID that
// no longer resolves, which the caller must skip.
package timers

import (
	"container/heap"
	"time"

	"github.com/lagoontrail/lagoon"
)

// The kinds of timers, in a traffic lane and in the traffic loop of a node that sends
// to servers itself.
const (
	Deadline   = iota // the deadline of a query or request, or an earlier check whether to respond without all shards
	HedgeDelay        // the hedging delay of a shard request or an attempt
	Recheck           // the next check of a gate, of a request that waits for the catalog, or of all pending attempts
	Grace             // the end of the time for which a cancelled request uses its slot, or an attempt may outlive its request
)

// Heap is a min-heap of timers. The zero value is empty.
type Heap struct {
	items entries
}

type entry struct {
	at   time.Duration
	kind int
	id   lagoon.RowID
}

// Add schedules a timer for a row.
func (h *Heap) Add(at time.Duration, kind int, id lagoon.RowID) {
	heap.Push(&h.items, entry{at, kind, id})
}

// Pop removes the earliest timer that has expired at now and returns its kind and
// row. It returns false if no timer has expired.
func (h *Heap) Pop(now time.Duration) (int, lagoon.RowID, bool) {
	if len(h.items) == 0 || h.items[0].at > now {
		return 0, 0, false
	}
	e := heap.Pop(&h.items).(entry)
	return e.kind, e.id, true
}

// Next returns when the earliest timer expires, or false if there is no timer.
func (h *Heap) Next() (time.Duration, bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

type entries []entry

func (e entries) Len() int           { return len(e) }
func (e entries) Less(i, j int) bool { return e[i].at < e[j].at }
func (e entries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)        { *e = append(*e, x.(entry)) }
func (e *entries) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
