package trfc_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
)

// recorder is a journal that keeps the decisions.
type recorder struct{ decisions []lagoon.Decision }

func (r *recorder) Record(d lagoon.Decision) { r.decisions = append(r.decisions, d) }

// reasonOf returns the reason of the only decision of a kind.
func (r *recorder) reasonOf(t *testing.T, kind string) string {
	t.Helper()
	var reasons []string
	for _, d := range r.decisions {
		if d.Kind() == kind {
			reasons = append(reasons, d.Reason())
		}
	}
	if len(reasons) != 1 {
		t.Fatalf("decisions %s: got %d, want 1", kind, len(reasons))
	}
	return reasons[0]
}

// Guards against a response whose origin cannot be found afterwards: the journal names its
// stamp, its connection, and what else the server sent.
func TestJournalNamesResponseAndUnsolicitedData(t *testing.T) {
	for connOpened, connection := range map[bool]string{true: "new", false: "reused"} {
		t.Run(connection, func(t *testing.T) {
			s, _ := newStampedSim(t, 1)
			s.publish(singleRoute(true))
			journal := &recorder{}
			s.loop.SetJournal(journal)
			s.loop.SetStarter(func(id lagoon.RowID, _ lagoon.Attempt) context.CancelFunc {
				var result lagoon.AttemptResult
				result.SetStatus(lagoon.StatusOK)
				result.SetReply(stampedReply("stamp-1"))
				result.SetConnOpened(connOpened)
				result.SetUnsolicited("a late copy")
				s.schedule(time.Millisecond, func() { s.tick(loop.AttemptDone(id, result, time.Millisecond)) })
				return func() {}
			})
			s.submit()
			s.runUntil(s.now + time.Second)
			if got, want := journal.reasonOf(t, "request_served"), connection+" connection/stamp stamp-1"; !strings.Contains(got, want) {
				t.Errorf("request_served: got %q, want %q in it", got, want)
			}
			if got, want := journal.reasonOf(t, "response_unsolicited"), "a late copy"; !strings.Contains(got, want) {
				t.Errorf("response_unsolicited: got %q, want %q in it", got, want)
			}
		})
	}
}
