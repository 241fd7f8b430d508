package crash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/crash"
)

// end returns the end of a server at a time, in milliseconds.
func end(service, server string, sent, ended int, shared bool) lagoon.ServerEnd {
	var e lagoon.ServerEnd
	e.SetService(service)
	e.SetServer(server)
	e.SetSentAt(time.Duration(sent) * time.Millisecond)
	e.SetEndedAt(time.Duration(ended) * time.Millisecond)
	e.SetShared(shared)
	return e
}

// endsAtOnce returns the ends of servers that got a request at the same time.
func endsAtOnce(n int) []lagoon.ServerEnd {
	var out []lagoon.ServerEnd
	for i := range n {
		out = append(out, end("a", fmt.Sprint("n", i), 0, 10+i, false))
	}
	return out
}

// Guards against a request that is blamed for what one cause may have done to several servers at
// once, or for servers that had other suspects too, and against one that is never blamed.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		name     string
		ends     []lagoon.ServerEnd
		answered string // the service that answers after the ends
		want     lagoon.Verdict
	}{
		{"nothing", nil, "", lagoon.VerdictNone},
		{"one server", []lagoon.ServerEnd{end("a", "1", 0, 10, false)}, "", lagoon.VerdictSuspect},
		{"ten servers at one moment", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("b", "2", 0, 10, false), end("c", "3", 0, 40, false)}, "", lagoon.VerdictSuspect},
		{"two servers, one after the other", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("b", "2", 112, 120, false)}, "", lagoon.VerdictSuspect},
		{"three servers at two moments", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("b", "2", 0, 12, false), end("a", "3", 112, 120, false)}, "", lagoon.VerdictDeadly},
		{"three servers before others have settled", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("b", "2", 12, 80, false), end("a", "3", 112, 120, false)}, "", lagoon.VerdictSuspect},
		{"eight servers, of which one was tried before others have settled", append([]lagoon.ServerEnd{end("a", "0", 12, 80, false)}, endsAtOnce(7)...), "", lagoon.VerdictDeadly},
		{"eight servers at one moment", endsAtOnce(8), "", lagoon.VerdictSuspect},
		{"all of them under other suspects too", []lagoon.ServerEnd{end("a", "1", 0, 10, true), end("b", "2", 0, 12, true), end("a", "3", 112, 120, true)}, "", lagoon.VerdictSuspect},
		{"one server, told three times", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("a", "1", 112, 120, false), end("a", "1", 222, 230, false)}, "", lagoon.VerdictSuspect},
		{"its service answers", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("a", "2", 112, 120, false), end("a", "3", 222, 230, false)}, "a", lagoon.VerdictNone},
		{"another service answers", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("a", "2", 112, 120, false), end("a", "3", 222, 230, false)}, "b", lagoon.VerdictDeadly},
		{"another service answers, and ends of others do not count", []lagoon.ServerEnd{end("a", "1", 0, 10, false), end("c", "2", 112, 120, false), end("d", "3", 222, 230, false)}, "b", lagoon.VerdictSuspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r crash.Record
			for _, e := range c.ends {
				r.End(e)
			}
			if c.answered != "" {
				r.Answer(c.answered, 300*time.Millisecond)
			}
			if r.Sufficient() {
				r.Convict()
			}
			if got := r.Verdict("a", time.Second); got != c.want {
				t.Errorf("verdict: got %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against a ban that outlasts its evidence, and against evidence that is forgotten before one
// server has shown whether a request is still deadly.
func TestVerdictExpires(t *testing.T) {
	var r crash.Record
	for i := range 3 {
		r.End(end("a", fmt.Sprint(i), 200*i, 200*i+10, false))
	}
	r.Convict()
	for _, c := range []struct {
		at   time.Duration
		want lagoon.Verdict
	}{
		{59 * time.Second, lagoon.VerdictDeadly},
		{61 * time.Second, lagoon.VerdictSuspect},
		{9 * time.Minute, lagoon.VerdictSuspect},
		{11 * time.Minute, lagoon.VerdictNone},
	} {
		if got := r.Overall(c.at); got != c.want {
			t.Errorf("verdict after %s: got %s, want %s", c.at, got, c.want)
		}
		if got, want := r.Expired(c.at), c.want == lagoon.VerdictNone; got != want {
			t.Errorf("expired after %s: got %t, want %t", c.at, got, want)
		}
	}
	r.End(end("a", "9", 61_000, 61_010, false))
	if got, want := r.Overall(62*time.Second), lagoon.VerdictDeadly; got != want {
		t.Errorf("verdict once another server has ended: got %s, want %s", got, want)
	}
	var suspect crash.Record
	suspect.End(end("a", "1", 0, 10, false))
	if got := suspect.Expired(61 * time.Second); !got {
		t.Errorf("suspect expired after a minute: got %t, want true", got)
	}
}

// Guards against a record that grows with every server, and loses the end that tells two moments
// apart.
func TestRecordIsBounded(t *testing.T) {
	var r crash.Record
	for i := range 40 {
		r.End(end(fmt.Sprint("s", i), fmt.Sprint(i), 0, 10, false))
	}
	if got, most := len(r.Ends()), 16; got > most {
		t.Errorf("ends: got %d, want at most %d", got, most)
	}
	if got := r.Sufficient(); got {
		t.Errorf("evidence of one moment is sufficient: got %t, want false", got)
	}
	r.End(end("s1", "x", 120, 130, false))
	if got := r.Sufficient(); !got {
		t.Errorf("evidence of two moments is sufficient: got %t, want true", got)
	}
	for i := range 1000 {
		r.Answer(fmt.Sprint("service ", i), time.Second)
	}
	if got := r.Answered(); !got {
		t.Errorf("answered: got %t, want true", got)
	}
}

// Guards against an answer of long ago that clears a request under which servers end now.
func TestEndsAfterAnAnswerCount(t *testing.T) {
	var r crash.Record
	r.End(end("a", "1", 0, 10, false))
	r.Answer("a", 20*time.Millisecond)
	if got := r.End(end("a", "2", 0, 15, false)); got {
		t.Errorf("end before the answer is news: got %t, want false", got)
	}
	for i := range 3 {
		r.End(end("a", fmt.Sprint("later", i), 100+200*i, 110+200*i, false))
	}
	if got := r.Sufficient(); !got {
		t.Errorf("evidence after the answer is sufficient: got %t, want true", got)
	}
}

// Guards against nodes that tell each other of the same ends for ever, because each of them keeps
// others.
func TestRecordsOfNodesConverge(t *testing.T) {
	var nodes [3]crash.Record
	for i := range 60 {
		nodes[i%3].End(end("s", fmt.Sprint(i), 10*i, 10*i+5, false))
	}
	for range 10 {
		news := false
		told := [3][]lagoon.ServerEnd{}
		for i := range nodes { // each of them tells the others what it had before they told it
			told[i] = slices.Clone(nodes[i].Ends())
		}
		for i := range nodes {
			for j := range told {
				for k := range told[j] {
					e := told[j][len(told[j])-1-k]
					news = (j != i && nodes[i].End(e)) || news
				}
			}
		}
		if !news {
			return
		}
	}
	t.Errorf("news after ten rounds: got %v and %v, want none", nodes[0].Ends(), nodes[1].Ends())
}

// Guards against a request that is blamed for servers that another one ended, and against evidence
// that stays when the cause is known.
func TestLikelierCauseIsBlamed(t *testing.T) {
	var cause, beside, later crash.Record
	for i := range 6 {
		cause.End(end("a", fmt.Sprint("c", i), 0, 30+10*i, false))
	}
	for i := range 4 {
		beside.End(end("a", fmt.Sprint("b", i), 10+20*i, 25+20*i, false))
		later.End(end("a", fmt.Sprint("l", i), 5000+20*i, 5015+20*i, false))
	}
	if got := cause.Outweighs(&beside); !got {
		t.Errorf("likelier than the one beside it: got %t, want true", got)
	}
	if got := beside.Outweighs(&cause) || cause.Outweighs(&later); got {
		t.Errorf("likelier with less, or at another time: got %t, want false", got)
	}
	cause.Convict()
	if got := cause.Outweighs(&beside); got {
		t.Errorf("likelier once it is blamed: got %t, want false", got)
	}
	beside.Explain(&cause)
	later.Explain(&cause)
	if got, want := len(beside.Ends()), 0; got != want {
		t.Errorf("ends that are explained: got %d, want %d", got, want)
	}
	if got, want := len(later.Ends()), 4; got != want {
		t.Errorf("ends at another time: got %d, want %d", got, want)
	}
}

// Guards against a request that is deadly and becomes a suspect again, because its servers had other
// requests as well.
func TestVerdictStaysWhenOthersShareTheEnds(t *testing.T) {
	var r crash.Record
	for i := range 3 {
		r.End(end("a", fmt.Sprint(i), 200*i, 200*i+10, false))
	}
	r.Convict()
	for i := range 3 {
		r.Share(fmt.Sprint(i), 0)
	}
	if got, want := r.Overall(time.Second), lagoon.VerdictDeadly; got != want {
		t.Errorf("verdict: got %s, want %s", got, want)
	}
}
