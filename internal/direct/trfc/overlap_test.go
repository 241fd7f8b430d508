package trfc_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/reply"
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

// Guards against an answer that reaches another request: it arrives after its own request is
// done, when the rows of the request, of its shard and of its ended attempts are in use again.
func TestLateAnswerReachesNobody(t *testing.T) {
	for _, c := range []struct {
		name         string
		finish       func(m *manualSim, ch chan lagoon.Response) // ends the first request
		want         lagoon.RequestOutcome
		wantCanceled bool // whether its second attempt is cancelled
	}{
		{"the other attempt served it", func(m *manualSim, _ chan lagoon.Response) { m.end(attemptEnd{1, lagoon.StatusOK}) }, lagoon.RequestServed, false},
		{"the linger time is over", func(m *manualSim, _ chan lagoon.Response) {
			m.end(attemptEnd{1, lagoon.StatusOK})
			m.runUntil(m.now + reply.Linger + time.Millisecond)
		}, lagoon.RequestServed, true},
		{"the caller left", func(m *manualSim, ch chan lagoon.Response) {
			m.disconnect(ch)
			m.end(attemptEnd{1, lagoon.StatusUnknown})
		}, lagoon.RequestCanceled, true},
		{"the deadline passed", func(m *manualSim, _ chan lagoon.Response) {
			m.runUntil(m.now + 10*time.Second)
			m.end(attemptEnd{1, lagoon.StatusUnknown})
		}, lagoon.RequestExpired, true},
		{"the node stops", func(m *manualSim, _ chan lagoon.Response) {
			v := *m.publishedView.Load()
			v.SetStopping(true)
			v.SetRefuseAt(m.now + time.Second)
			v.SetStopAt(m.now + 2*time.Second)
			m.publishedView.Store(&v)
			m.runUntil(m.now + 2*time.Second)
			m.end(attemptEnd{1, lagoon.StatusUnknown})
			v.SetStopAt(0)
			m.publishedView.Store(&v)
		}, lagoon.RequestExpired, true},
	} {
		for _, late := range []lagoon.Status{lagoon.StatusOK, lagoon.StatusFailed, lagoon.StatusUnknown, lagoon.StatusRefused, lagoon.StatusNotSent} {
			t.Run(c.name+", "+late.String(), func(t *testing.T) {
				m := newManualSim(t, singleRoute(true), 1)
				first := m.startTwo(t)
				for ch := range m.pending {
					c.finish(m, ch)
				}
				if got := first.response.Outcome(); got != c.want || m.canceled[2] != c.wantCanceled {
					t.Fatalf("first request: got %s with its attempt cancelled %t, want %s and %t", got, m.canceled[2], c.want, c.wantCanceled)
				}
				wantFirst := fmt.Sprint(first.response)
				second := m.submit()
				if got, want := m.ids[2].Slot(), m.ids[0].Slot(); len(m.ids) != 3 || got != want {
					t.Fatalf("slot of the second request's attempt: got %d, want %d, that of an ended one", got, want)
				}
				m.end(attemptEnd{2, late})
				m.end(attemptEnd{1, late}) // an attempt ends once; its row is in use again
				if _, pending := m.loop.Attempts().Resolve(m.ids[2]); !pending || len(m.pending) != 1 {
					t.Fatalf("second request: got %s %v from the attempt of another one, want none yet", second.response.Outcome(), second.response.Reply())
				}
				m.end(attemptEnd{3, lagoon.StatusOK})
				if got, want := fmt.Sprint(second.response.Outcome(), " ", second.response.Reply()), "served 3"; got != want {
					t.Errorf("second request: got %s, want %s", got, want)
				}
				if got := fmt.Sprint(first.response); got != wantFirst {
					t.Errorf("first request: got %s, want %s as before", got, wantFirst)
				}
			})
		}
	}
}
