// Package rows provides a slot map: a dense table of rows with stable,
// generation-checked IDs. Every entity of lagoontrail is stored in one.
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
// Positions 0 to Len()-1 are all in use; removing a row moves the last row into
// its position. An ID stays valid when its row moves and becomes invalid when its
// row is removed, because the slot's generation changes. Pointers to rows are
// valid until the next Add or Remove. A Table is not safe for concurrent use.
package rows

import "github.com/lagoontrail/lagoon"

// Table holds the rows of one entity. The zero value is an empty table.
type Table[R any] struct {
	rows   []R
	keys   []string                // by position, parallel to rows
	slotOf []uint32                // by position, parallel to rows
	slots  []slot                  // by slot number
	free   []uint32                // slot numbers without a row
	byKey  map[string]lagoon.RowID // non-empty keys only
}

// slot maps a slot number to the position of its row.
type slot struct {
	pos uint32
	gen uint32
}

// Len returns the number of rows.
func (t *Table[R]) Len() int { return len(t.rows) }

// At returns the row at position i.
func (t *Table[R]) At(i int) *R { return &t.rows[i] }

// Key returns the key of the row at position i, or "" if it has none.
func (t *Table[R]) Key(i int) string { return t.keys[i] }

// ID returns the ID of the row at position i.
func (t *Table[R]) ID(i int) lagoon.RowID {
	s := t.slotOf[i]
	return lagoon.NewRowID(s, t.slots[s].gen)
}

// Add appends a zero row. A non-empty key must not be in the table already.
func (t *Table[R]) Add(key string) (lagoon.RowID, *R) {
	s := t.allocateSlot()
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

func (t *Table[R]) allocateSlot() uint32 {
	if n := len(t.free); n > 0 {
		s := t.free[n-1]
		t.free = t.free[:n-1]
		return s
	}
	t.slots = append(t.slots, slot{gen: 1})
	return uint32(len(t.slots) - 1)
}

// Resolve returns the row with an ID, or false if it was removed.
func (t *Table[R]) Resolve(id lagoon.RowID) (*R, bool) {
	s := id.Slot()
	if int(s) >= len(t.slots) || t.slots[s].gen != id.Generation() {
		return nil, false
	}
	return &t.rows[t.slots[s].pos], true
}

// Find returns the row with a key, or false if there is none.
func (t *Table[R]) Find(key string) (*R, bool) {
	id, ok := t.byKey[key]
	if !ok {
		return nil, false
	}
	return t.Resolve(id)
}

// IDOf returns the ID of the row with a key, or false if there is none.
func (t *Table[R]) IDOf(key string) (lagoon.RowID, bool) {
	id, ok := t.byKey[key]
	return id, ok
}

// KeyOf returns the key of the row with an ID, or "" if it was removed.
func (t *Table[R]) KeyOf(id lagoon.RowID) string {
	if _, ok := t.Resolve(id); !ok {
		return ""
	}
	return t.keys[t.slots[id.Slot()].pos]
}

// Ensure returns the row with a key and adds a zero row if there is none.
func (t *Table[R]) Ensure(key string) *R {
	if r, ok := t.Find(key); ok {
		return r
	}
	_, r := t.Add(key)
	return r
}

// Remove deletes the row with an ID. It does nothing if the ID is invalid.
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

// RemoveKey deletes the row with a key. It does nothing if there is none.
func (t *Table[R]) RemoveKey(key string) {
	if id, ok := t.byKey[key]; ok {
		t.Remove(id)
	}
}
