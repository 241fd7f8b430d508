// Package due keeps the times at which rows of a lane's tables need attention.
//
// # Usage
//
//	var h due.Heap
//	h.Add(now+wait, due.Leg, id)
//	for { kind, id, ok := h.Pop(now); if !ok { break } ... }
//
// Entries are not withdrawn when their row is; the row's id no longer resolves
// then.
package due

import (
	"container/heap"
	"time"

	"github.com/lagoontrail/lagoon"
)

// The kinds of rows that entries name.
const (
	Query = iota // a query's deadline
	Leg          // a leg that may be hedged
	Gate         // a gate that may send again
	Slot         // a slot that a cancelled request gives back
)

// Heap orders entries by time. The zero value is empty.
type Heap struct {
	items entries
}

type entry struct {
	at   time.Duration
	kind int
	id   lagoon.RowID
}

// Add adds an entry.
func (h *Heap) Add(at time.Duration, kind int, id lagoon.RowID) {
	heap.Push(&h.items, entry{at, kind, id})
}

// Pop removes the earliest entry that is due at now, or returns false.
func (h *Heap) Pop(now time.Duration) (int, lagoon.RowID, bool) {
	if len(h.items) == 0 || h.items[0].at > now {
		return 0, 0, false
	}
	e := heap.Pop(&h.items).(entry)
	return e.kind, e.id, true
}

// Next returns the earliest time, or false when there is no entry.
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
