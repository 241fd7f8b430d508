package cases_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/cases"
	"github.com/lagoontrail/lagoon/internal/rows"
)

func end(server string, at time.Duration) lagoon.ServerEnd {
	var e lagoon.ServerEnd
	e.SetService("desk")
	e.SetServer(server)
	e.SetSentAt(at - 10*time.Millisecond)
	e.SetEndedAt(at)
	return e
}

// Guards against memory that grows with the number of requests that look deadly.
func TestTableIsBounded(t *testing.T) {
	var table rows.Table[cases.Row]
	for i := range 3000 {
		at := time.Duration(i) * time.Millisecond
		cases.End(&table, fmt.Sprint("request ", i), end(fmt.Sprint("server ", i), at), at)
	}
	if got, most := table.Len(), 1024; got > most {
		t.Errorf("rows: got %d, want at most %d", got, most)
	}
	if _, got := table.Find("request 2999"); !got {
		t.Errorf("newest request known: got %t, want true", got)
	}
	cases.Sweep(&table, time.Hour)
	if got := table.Len(); got != 0 {
		t.Errorf("rows after an hour: got %d, want 0", got)
	}
}

// Guards against a request that is blamed for a server which another suspect had too, whichever of
// them is known first, and whether this node or another one saw it.
func TestServerWithTwoSuspectsIsShared(t *testing.T) {
	var table rows.Table[cases.Row]
	cases.End(&table, "first", end("s1", time.Second), time.Second)
	var c lagoon.RequestCase
	c.SetFingerprint("second")
	c.SetNow(5 * time.Second) // on the clock of another node
	c.SetEnds([]lagoon.ServerEnd{end("s1", 4900*time.Millisecond)})
	if got := cases.Merge(&table, c, 1100*time.Millisecond); !got {
		t.Errorf("merge is news: got %t, want true", got)
	}
	for _, fingerprint := range []string{"first", "second"} {
		row, _ := table.Find(fingerprint)
		ends := row.RecordRef().Ends()
		if got := len(ends) == 1 && ends[0].Shared(); !got {
			t.Errorf("%s: got %v, want one shared end", fingerprint, ends)
		}
		if got, want := ends[0].EndedAt(), time.Second; got != want {
			t.Errorf("%s: ended at %s, want %s", fingerprint, got, want)
		}
	}
	if got := cases.Merge(&table, c, 1200*time.Millisecond); got {
		t.Errorf("merge again is news: got %t, want false", got)
	}
}

// Guards against a message that changes while it is on its way, because the evidence does: its ends
// became empty ones, which counted as further servers.
func TestCaseThatIsToldDoesNotChange(t *testing.T) {
	var table rows.Table[cases.Row]
	for i := range 3 {
		cases.End(&table, "request", end(fmt.Sprint("s", i), time.Duration(i)*time.Second), 3*time.Second)
	}
	row, _ := table.Find("request")
	c := cases.CaseOf("request", row, 3*time.Second)
	row.RecordRef().Answer("desk", 4*time.Second)
	if got, want := len(c.Ends()), 3; got != want {
		t.Fatalf("ends: got %d, want %d", got, want)
	}
	for _, e := range c.Ends() {
		if e.Server() == "" {
			t.Errorf("got an empty end in %v, want the ends that were told", c.Ends())
		}
	}
	var empty lagoon.RequestCase
	empty.SetFingerprint("other")
	empty.SetEnds(make([]lagoon.ServerEnd, 3))
	if got := cases.Merge(&table, empty, time.Second); got {
		t.Errorf("empty ends are news: got %t, want false", got)
	}
}
