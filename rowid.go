package lagoon

// RowID is the stable id of a table row: a slot and the generation that tells
// its successive rows apart. The zero value is the id of no row.
type RowID uint64

// NewRowID returns the id of a slot's generation.
func NewRowID(slot, generation uint32) RowID {
	return RowID(uint64(generation)<<32 | uint64(slot))
}

// Slot returns the slot.
func (id RowID) Slot() uint32 { return uint32(id) }

// Generation returns the generation, at least 1 for an id of a row.
func (id RowID) Generation() uint32 { return uint32(id >> 32) }

// Snapshot names one build of a service's index: the shard map that it was
// built for and the index version. The zero value names none. Snapshots of one
// shard map order by age.
type Snapshot uint64

// NewSnapshot returns the snapshot of an index version for a shard map version.
func NewSnapshot(mapVersion, index uint32) Snapshot {
	return Snapshot(uint64(mapVersion)<<32 | uint64(index))
}

// Map returns the shard map version.
func (s Snapshot) Map() uint64 { return uint64(s) >> 32 }

// Index returns the index version.
func (s Snapshot) Index() uint64 { return uint64(uint32(s)) }
