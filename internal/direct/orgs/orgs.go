// Package orgs finds organisations by the keys of their callers and by name.
//
// # Usage
//
//	index := orgs.New(catalog.Organisations())
//	organisation := index.Find(key)       // nil if no organisation holds the key
//	organisation = index.Named("wire")
//
// The index of keys holds digests only, and the search compares digests, so its duration
// depends on a key only through its digest. An index is immutable. With thousands of
// organisations, sorted slices take a third of the memory of maps.
package orgs

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"
	"sort"

	"github.com/lagoontrail/lagoon"
)

// digestBytes is the length of the stored part of a digest. 128 bits rule out that two
// declared keys, or a declared and a guessed one, have the same digest.
const digestBytes = 16

type digest [digestBytes]byte

// entry is one key.
type entry struct {
	key          digest
	organisation int32
}

// Index is an immutable index of organisations. The zero value has none.
type Index struct {
	organisations []lagoon.Organisation
	entries       []entry // ordered by digest
	byName        []int32 // ordered by name
}

// New returns an index. Names must be distinct. A key that two organisations hold belongs to
// neither, and an empty key to none.
func New(organisations []lagoon.Organisation) *Index {
	x := &Index{organisations: organisations, byName: make([]int32, 0, len(organisations))}
	count := 0
	for i := range organisations {
		count += len(organisations[i].Keys())
	}
	entries := make([]entry, 0, count)
	for i := range organisations {
		x.byName = append(x.byName, int32(i))
		for _, key := range organisations[i].Keys() {
			if key != "" {
				entries = append(entries, entry{digestOf(key), int32(i)})
			}
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(bytes.Compare(a.key[:], b.key[:]), cmp.Compare(a.organisation, b.organisation))
	})
	x.entries = unambiguous(entries)
	slices.SortFunc(x.byName, func(a, b int32) int {
		return cmp.Compare(organisations[a].Name(), organisations[b].Name())
	})
	return x
}

// unambiguous removes, in place, repeated keys of one organisation and all entries of keys
// that several organisations hold. The entries are ordered.
func unambiguous(entries []entry) []entry {
	out := entries[:0]
	for i := 0; i < len(entries); {
		end := i + 1
		for end < len(entries) && entries[end].key == entries[i].key {
			end++
		}
		if entries[end-1].organisation == entries[i].organisation {
			out = append(out, entries[i])
		}
		i = end
	}
	return out
}

func digestOf(key string) digest {
	sum := sha256.Sum256([]byte(key))
	return digest(sum[:digestBytes])
}

// Len returns the number of organisations.
func (x *Index) Len() int {
	if x == nil {
		return 0
	}
	return len(x.organisations)
}

// Find returns the organisation that holds a key, or nil.
func (x *Index) Find(key string) *lagoon.Organisation {
	if x == nil || key == "" {
		return nil
	}
	d := digestOf(key)
	i := sort.Search(len(x.entries), func(i int) bool { return bytes.Compare(x.entries[i].key[:], d[:]) >= 0 })
	if i == len(x.entries) || x.entries[i].key != d {
		return nil
	}
	return &x.organisations[x.entries[i].organisation]
}

// Named returns the organisation with a name, or nil.
func (x *Index) Named(name string) *lagoon.Organisation {
	if x == nil {
		return nil
	}
	i := sort.Search(len(x.byName), func(i int) bool { return x.organisations[x.byName[i]].Name() >= name })
	if i == len(x.byName) || x.organisations[x.byName[i]].Name() != name {
		return nil
	}
	return &x.organisations[x.byName[i]]
}
