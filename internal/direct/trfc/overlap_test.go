package trfc_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
)

// attemptEnd is the end of an attempt, given by its number from 1 on.
type attemptEnd struct {
	attempt int
	status  lagoon.Status
}

// manualSim is a simulation whose attempts end when the test says so. The reply of an attempt
// is its number.
type manualSim struct {
	*sim
	ids      []lagoon.RowID
	canceled map[int]bool
}

func newManualSim(t *testing.T, route lagoon.Route, services int) *manualSim {
	m := &manualSim{sim: newSim(t, 1), canceled: map[int]bool{}}
	m.loop.SetExtraRatio(100) // one request fills the retry budget
	m.addShards(services, 20*time.Millisecond)
	m.loop.SetStarter(func(id lagoon.RowID, a lagoon.Attempt) context.CancelFunc {
		m.attempts = append(m.attempts, a)
		m.ids = append(m.ids, id)
		n := len(m.ids)
		return func() { m.canceled[n] = true }
	})
	m.publish(route)
	return m
}

// end ends attempts in one tick.
func (m *manualSim) end(ends ...attemptEnd) {
	var messages []any
	for _, e := range ends {
		var v lagoon.AttemptResult
		v.SetStatus(e.status)
		if e.status == lagoon.StatusOK || e.status == lagoon.StatusFailed {
			v.SetReply(e.attempt)
		}
		messages = append(messages, loop.AttemptDone(m.ids[e.attempt-1], v, 20*time.Millisecond))
	}
	m.tick(messages...)
}

// startTwo submits a request and waits until it has two attempts, the second one a hedge.
func (m *manualSim) startTwo(t *testing.T) *request {
	t.Helper()
	q := m.submit()
	for end := m.now + time.Second; len(m.ids) < 2 && m.now < end; {
		m.runUntil(m.now + time.Millisecond)
	}
	if len(m.ids) != 2 {
		t.Fatalf("attempts: got %d, want 2", len(m.ids))
	}
	return q
}

// Guards against an answer of one attempt that replaces that of another: the caller gets the
// first success, or the failure that came last, in each order of arrival, also within a tick.
func TestOverlappingAttemptsDoNotReplaceAnswers(t *testing.T) {
	const ok, failed, unknown, refused = lagoon.StatusOK, lagoon.StatusFailed, lagoon.StatusUnknown, lagoon.StatusRefused
	type tick = []attemptEnd
	for _, c := range []struct {
		name  string
		ticks []tick
		rest  lagoon.Status // how all further attempts end
		want  string        // the outcome and the attempt whose reply it has
	}{
		{"success, then failure", []tick{{{1, ok}}, {{2, failed}}}, refused, "served 1"},
		{"failure, then success", []tick{{{1, failed}}, {{2, ok}}}, refused, "served 2"},
		{"success of the second, then failure of the first", []tick{{{2, ok}}, {{1, failed}}}, refused, "served 2"},
		{"failure of the second, then success of the first", []tick{{{2, failed}}, {{1, ok}}}, refused, "served 1"},
		{"two successes", []tick{{{1, ok}}, {{2, ok}}}, refused, "served 1"},
		{"success and failure in one tick", []tick{{{1, ok}, {2, failed}}}, refused, "served 1"},
		{"failure and success in one tick", []tick{{{1, failed}, {2, ok}}}, refused, "served 2"},
		{"two successes in one tick", []tick{{{2, ok}, {1, ok}}}, refused, "served 2"},
		{"loss and success in one tick", []tick{{{1, unknown}, {2, ok}}}, refused, "served 2"},
		{"two failures", []tick{{{1, failed}}, {{2, failed}}}, refused, "failed 2"},
		{"failure, then refusals", []tick{{{1, failed}}, {{2, refused}}}, refused, "failed 1"},
		{"failure, then losses", []tick{{{1, failed}}, {{2, unknown}}}, unknown, "lost <nil>"},
		{"loss, then failure", []tick{{{1, unknown}}, {{2, failed}}}, refused, "failed 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newManualSim(t, singleRoute(true), 1)
			q := m.startTwo(t)
			for _, ends := range c.ticks {
				m.end(ends...)
			}
			for n := 3; len(m.pending) > 0; m.runUntil(m.now + time.Millisecond) {
				for ; n <= len(m.ids); n++ {
					m.end(attemptEnd{n, c.rest})
				}
			}
			if got := fmt.Sprint(q.response.Outcome(), " ", q.response.Reply()); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
