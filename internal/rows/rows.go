// Package rows provides the dense table that every entity of lagoontrail is
// kept in.
//
// # Usage
//
//	var t rows.Table[zones.Row]
//	id, row := t.Add("cph-1")
//	row.SetOut(true)
//	for i := 0; i < t.Len(); i++ {
//		use(t.At(i))
//	}
//	row, ok := t.Resolve(id)
//
// Rows are dense: positions 0 to Len()-1 are all in use, and removing a row
// moves the last one into its place. Ids stay valid across moves and become
// invalid, by their generation, when their row is removed. Pointers to rows
// hold only until the next Add or Remove. A Table belongs to one goroutine.
package rows

import "github.com/lagoontrail/lagoon"

// Table holds rows of one entity. The zero value is an empty table.
type Table[R any] struct {
	rows   []R
	keys   []string
	slotOf []uint32
	slots  []slot
	free   []uint32
	byKey  map[string]lagoon.RowID
}

// slot maps an id's slot number to the dense position of its row.
type slot struct {
	pos uint32
	gen uint32
}

// Len returns the number of rows.
func (t *Table[R]) Len() int { return len(t.rows) }

// At returns the row at dense position i.
func (t *Table[R]) At(i int) *R { return &t.rows[i] }

// Key returns the key of the row at dense position i; empty when it has none.
func (t *Table[R]) Key(i int) string { return t.keys[i] }

// ID returns the id of the row at dense position i.
func (t *Table[R]) ID(i int) lagoon.RowID {
	s := t.slotOf[i]
	return lagoon.NewRowID(s, t.slots[s].gen)
}

// Add appends a zero row. A key that is not empty must not be in the table.
func (t *Table[R]) Add(key string) (lagoon.RowID, *R) {
	s := t.takeSlot()
	t.slots[s].pos = uint32(len(t.rows))
	var zero R
	t.rows = append(t.rows, zero)
	t.keys = append(t.keys, key)
	t.slotOf = append(t.slotOf, s)
	id := lagoon.NewRowID(s, t.slots[s].gen)
	if key != "" {
		if t.byKey == nil {
			t.byKey = map[string]lagoon.RowID{}
		}
		t.byKey[key] = id
	}
	return id, &t.rows[len(t.rows)-1]
}

func (t *Table[R]) takeSlot() uint32 {
	if n := len(t.free); n > 0 {
		s := t.free[n-1]
		t.free = t.free[:n-1]
		return s
	}
	t.slots = append(t.slots, slot{gen: 1})
	return uint32(len(t.slots) - 1)
}

// Resolve returns the row of an id, or false when it was removed.
func (t *Table[R]) Resolve(id lagoon.RowID) (*R, bool) {
	s := id.Slot()
	if int(s) >= len(t.slots) || t.slots[s].gen != id.Generation() {
		return nil, false
	}
	return &t.rows[t.slots[s].pos], true
}

// Find returns the row of a key.
func (t *Table[R]) Find(key string) (*R, bool) {
	id, ok := t.byKey[key]
	if !ok {
		return nil, false
	}
	return t.Resolve(id)
}

// IDOf returns the id of a key's row.
func (t *Table[R]) IDOf(key string) (lagoon.RowID, bool) {
	id, ok := t.byKey[key]
	return id, ok
}

// KeyOf returns the key of an id's row, or "" when it was removed.
func (t *Table[R]) KeyOf(id lagoon.RowID) string {
	if _, ok := t.Resolve(id); !ok {
		return ""
	}
	return t.keys[t.slots[id.Slot()].pos]
}

// Ensure returns the row of a key and adds it when it is missing.
func (t *Table[R]) Ensure(key string) *R {
	if r, ok := t.Find(key); ok {
		return r
	}
	_, r := t.Add(key)
	return r
}

// Remove deletes the row of an id; an invalid id is ignored.
func (t *Table[R]) Remove(id lagoon.RowID) {
	if _, ok := t.Resolve(id); !ok {
		return
	}
	s := id.Slot()
	pos := t.slots[s].pos
	last := len(t.rows) - 1
	delete(t.byKey, t.keys[pos])
	t.rows[pos], t.keys[pos], t.slotOf[pos] = t.rows[last], t.keys[last], t.slotOf[last]
	t.slots[t.slotOf[pos]].pos = pos
	var zero R
	t.rows[last] = zero
	t.rows, t.keys, t.slotOf = t.rows[:last], t.keys[:last], t.slotOf[:last]
	t.slots[s].gen++
	t.free = append(t.free, s)
}

// Drop deletes the row of a key; a missing key is ignored.
func (t *Table[R]) Drop(key string) {
	if id, ok := t.byKey[key]; ok {
		t.Remove(id)
	}
}
