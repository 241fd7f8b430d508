// Package epoch orders the revisions of a store over the times at which it was restored from a
// copy.
//
// # Usage
//
//	revision, err := epoch.Join(era, 91)
//	epoch.Of(revision)    // era
//	epoch.Local(revision) // 91
//	epoch.Text(revision)  // "era 2, revision 91"
//
// A store that comes back from a copy gives out revisions anew, and counts the times at which it
// did. A joined revision has this count, the era, in its upper bits, so that any revision of a
// later era is greater than all earlier ones.
package epoch

import (
	"fmt"

	"github.com/pkg/errors"
)

// revisionBits is the number of bits of a revision within an era: a store with 400 writes per
// second fills them in 87 years.
const revisionBits = 40

// maxEra is the greatest era that can be joined.
const maxEra = 1<<(64-revisionBits) - 1

// Join returns the joined revision, or an error if the era or the revision is out of range.
func Join(era, revision uint64) (uint64, error) {
	if era > maxEra || revision >= 1<<revisionBits {
		return 0, errors.Errorf("revision %d of era %d is out of range", revision, era)
	}
	return era<<revisionBits | revision, nil
}

// Of returns the era of a joined revision.
func Of(revision uint64) uint64 { return revision >> revisionBits }

// Local returns the revision within the era.
func Local(revision uint64) uint64 { return revision & (1<<revisionBits - 1) }

// Text describes a joined revision for logs.
func Text(revision uint64) string {
	return fmt.Sprintf("era %d, revision %d", Of(revision), Local(revision))
}
