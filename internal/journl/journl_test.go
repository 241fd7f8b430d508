package journl_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/journl"
)

func newDecision(requestID string) lagoon.Decision {
	var d lagoon.Decision
	d.SetTime(time.Now())
	d.SetNode("entry-1")
	d.SetKind("query_routed")
	d.SetSubject("archive-desk")
	d.SetRequestID(requestID)
	d.SetReason("snapshot 1.1, servers 0:archive-desk-00a@entry-3 1:archive-desk-01b@entry-7: least expected wait among usable replicas")
	return d
}

func TestRecordNeverBlocks(t *testing.T) {
	j := journl.New(nil) // Serve is not called, so the queue fills up
	for range 10000 {
		j.Record(newDecision("q"))
	}
	if got, want := j.Dropped() > 0, true; got != want {
		t.Errorf("decisions dropped: got %v, want %v", got, want)
	}
}

func TestFindReturnsMatches(t *testing.T) {
	j := journl.New(nil)
	ctx, cancel := context.WithCancel(context.Background())
	for _, id := range []string{"a", "b", "a"} {
		j.Record(newDecision(id))
	}
	cancel()
	_ = j.Serve(ctx) // writes the queued decisions
	found := j.Find(func(d lagoon.Decision) bool { return d.RequestID() == "a" })
	if got, want := len(found), 2; got != want {
		t.Errorf("decisions found: got %d, want %d", got, want)
	}
}

// BenchmarkLine measures one decision, from Record to its log line.
func BenchmarkLine(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetFormatter(&logrus.JSONFormatter{})
	j := journl.New(log)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d := newDecision("q")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		j.Record(d)
		if n%4096 == 0 {
			_ = j.Serve(ctx) // writes the queued decisions and returns
		}
	}
	_ = j.Serve(ctx)
}
