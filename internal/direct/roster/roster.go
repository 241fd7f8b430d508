// Package roster keeps a versioned list of the live nodes with its latest
// changes, so that a hub sends each node only the changes since the version that
// the node holds.
//
// # Usage
//
//	var r roster.Roster
//	r.RaiseVersion(unixNanoseconds)                 // no version is reused by a later run
//	r.Replace(names)
//	added, removed, ok := r.ChangesSince(version)   // false: send the whole list
package roster

// maxChanges is the number of latest changes that are always kept. More nodes join
// and leave within a few heartbeats only when most of a fleet restarts, and then the
// whole list is sent.
const maxChanges = 128

// Roster is the list. The zero value is empty, at version 0.
type Roster struct {
	version uint64
	members map[string]bool
	changes []change // the latest changes; the last one made the current version
}

// change is the addition or removal of one node.
type change struct {
	name  string
	added bool
}

// RaiseVersion raises the version to at least the given one.
func (r *Roster) RaiseVersion(version uint64) { r.version = max(r.version, version) }

// Version returns the current version.
func (r *Roster) Version() uint64 { return r.version }

// Replace replaces the list.
func (r *Roster) Replace(names []string) {
	next := make(map[string]bool, len(names))
	for _, name := range names {
		next[name] = true
		if !r.members[name] {
			r.record(change{name, true})
		}
	}
	for name := range r.members {
		if !next[name] {
			r.record(change{name, false})
		}
	}
	r.members = next
}

func (r *Roster) record(c change) {
	r.version++
	r.changes = append(r.changes, c)
	if len(r.changes) > 2*maxChanges {
		r.changes = append([]change(nil), r.changes[len(r.changes)-maxChanges:]...)
	}
}

// ChangesSince returns the names added and removed since a version, or false if
// the changes since that version are not kept.
func (r *Roster) ChangesSince(version uint64) (added, removed []string, ok bool) {
	behind := r.version - version
	if version > r.version || behind > uint64(len(r.changes)) {
		return nil, nil, false
	}
	latest := map[string]bool{}
	for _, c := range r.changes[len(r.changes)-int(behind):] {
		latest[c.name] = c.added
	}
	for name, present := range latest {
		if present {
			added = append(added, name)
		} else {
			removed = append(removed, name)
		}
	}
	return added, removed, true
}
