package lagoon

// RowID identifies a table row by its slot and the slot's generation, which is
// raised each time the slot is reused. The zero value identifies no row.
type RowID uint64

// NewRowID returns the ID of the row with a slot and generation.
func NewRowID(slot, generation uint32) RowID {
	return RowID(uint64(generation)<<32 | uint64(slot))
}

// Slot returns the slot.
func (id RowID) Slot() uint32 { return uint32(id) }

// Generation returns the generation; it is at least 1 for the ID of a row.
func (id RowID) Generation() uint32 { return uint32(id >> 32) }

// Snapshot identifies one build of a service's index by shard map version and
// index version. The zero value means no snapshot. Snapshots of the same shard
// map are ordered by age.
type Snapshot uint64

// NewSnapshot returns the snapshot with a shard map version and index version.
func NewSnapshot(mapVersion, indexVersion uint32) Snapshot {
	return Snapshot(uint64(mapVersion)<<32 | uint64(indexVersion))
}

// MapVersion returns the shard map version.
func (s Snapshot) MapVersion() uint64 { return uint64(s) >> 32 }

// IndexVersion returns the index version.
func (s Snapshot) IndexVersion() uint64 { return uint64(uint32(s)) }
