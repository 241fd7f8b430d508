package ingest

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// noteEra records that the registry was restored from a copy if a revision is of a later era than
// those known before. The first one that a starting node gets says nothing.
func noteEra(s *state.State, source string, revision uint64, now time.Duration) {
	era, known := epoch.Of(revision), false
	for i := range s.Topics().Len() {
		known = known || s.Topics().At(i).Revision() > 0
	}
	if era <= s.Era() && known {
		return
	}
	if known {
		s.SetRestoredAt(now)
		s.Record("registry_restored", source, fmt.Sprintf("it goes on from a copy, at %s after era %d; revisions of before do not count any more", epoch.Text(revision), s.Era()))
	}
	s.SetEra(max(era, s.Era()))
}
