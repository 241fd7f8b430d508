// Package blame finds the requests that end the servers that run them, and keeps them from further
// servers.
//
// # Usage
//
//	systems = append(systems, &blame.System{})
//	row, ok := blame.Find(l, req)                       // at admission
//	verdict := blame.Verdict(l, req, service, now)      // before a hedge
//	hold := blame.Hold(l, req, shard, now)              // before an attempt
//
// The load pattern: one request in a hundred crashes each server that runs it, its callers send it
// again, and every node gets it. Without this, one gathered request ends a server of each shard, and
// each repeated attempt another one. A request under which a server ended is a suspect until a
// server has answered it: it is not hedged, and has one attempt in flight at a time, at a server
// without another suspect. What package crash calls deadly is rejected at once. Nodes tell each
// other what they know. A request is recognised by its fingerprint, which is not computed before a
// server has ended, so that nothing is paid for as long as none does.
package blame

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/cases"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/trfc/finish"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

// toldEnds is the number of server runs that ended under a request from which other nodes are told.
// One server that crashes has some requests, of which the others need not know.
const toldEnds = 2

// sweepInterval is the time between two sweeps for requests of which nothing is known any more.
const sweepInterval = time.Second

// System records under which requests servers end. The zero value is ready to use.
type System struct {
	sweptAt time.Duration
	changed []string // the fingerprints of the requests with news in this tick; reused
}

// Name returns the system's name.
func (*System) Name() string { return "blame" }

// Run records what the attempts that ended in this tick and other nodes say of requests under which
// servers ended, tells control of it, and ends the requests that are deadly by that.
func (s *System) Run(l *loop.Loop, now time.Duration) {
	s.changed = s.changed[:0]
	for _, report := range l.CaseNews() {
		for _, c := range report.Cases() {
			if cases.Merge(l.Cases(), c, now) {
				s.note(c.Fingerprint())
			}
		}
	}
	report := &lagoon.CaseReport{}
	for _, id := range l.Completed() {
		if attempt, ok := l.Attempts().Resolve(id); ok {
			s.record(l, attempt, report, now)
		}
	}
	if len(report.Cases()) > 0 && l.TellControl() != nil {
		l.TellControl()(report) // a later end tells all of it again if the mailbox is full
	}
	for _, fingerprint := range s.changed { // all evidence of the tick is there
		judge(l, fingerprint, now)
	}
	if l.Cases().Len() > 0 && now-s.sweptAt >= sweepInterval {
		s.sweptAt = now
		cases.Sweep(l.Cases(), now)
	}
}

// note notes that there is news of a request.
func (s *System) note(fingerprint string) {
	if !slices.Contains(s.changed, fingerprint) {
		s.changed = append(s.changed, fingerprint)
	}
}

// record records what the result of an attempt says of its request.
func (s *System) record(l *loop.Loop, attempt *tries.Row, report *lagoon.CaseReport, now time.Duration) {
	result := attempt.Result()
	answered := result.Status() == lagoon.StatusOK || result.Status() == lagoon.StatusFailed
	if !result.Ended() && (!answered || l.Cases().Len() == 0) {
		return
	}
	req, ok := l.Requests().Resolve(attempt.Request())
	if !ok {
		return
	}
	fingerprint := fingerprintOf(req)
	if fingerprint == "" {
		return
	}
	if answered {
		if row, ok := l.Cases().Find(fingerprint); ok {
			row.RecordRef().Answer(attempt.Service(), now)
		}
		return
	}
	var end lagoon.ServerEnd
	end.SetService(attempt.Service())
	end.SetServer(attempt.Server())
	end.SetStartedMilli(attempt.StartedMilli())
	end.SetSentAt(attempt.SentAt())
	end.SetEndedAt(now)
	if !cases.End(l.Cases(), fingerprint, end, now) {
		return
	}
	s.note(fingerprint)
	if row, ok := l.Cases().Find(fingerprint); ok && len(row.RecordRef().Ends()) >= toldEnds {
		report.SetCases(append(slices.DeleteFunc(report.Cases(), func(c lagoon.RequestCase) bool { return c.Fingerprint() == fingerprint }), cases.CaseOf(fingerprint, row, now)))
	}
}

// judge logs a verdict that has changed, and ends the requests that are deadly by it.
func judge(l *loop.Loop, fingerprint string, now time.Duration) {
	row, ok := l.Cases().Find(fingerprint)
	if !ok {
		return
	}
	cases.Judge(l.Cases(), fingerprint)
	verdict := row.RecordRef().Overall(now)
	if verdict != row.Told() {
		row.SetTold(verdict)
		if verdict != lagoon.VerdictNone {
			l.Record("request_"+verdict.String(), strconv.Quote(fingerprint), "", describe(row, now))
		}
	}
	if verdict != lagoon.VerdictDeadly {
		return
	}
	for i := range l.Requests().Len() {
		req := l.Requests().At(i)
		if !req.Decided() && req.Route() != nil && fingerprintOf(req) == fingerprint {
			end(l, l.Requests().ID(i), req, row, now)
		}
	}
}

// end ends a request that is deadly.
func end(l *loop.Loop, id lagoon.RowID, req *reqs.Row, row *cases.Row, now time.Duration) {
	var r lagoon.Response
	r.SetOutcome(lagoon.RequestLost)
	if !finish.MayRun(l, req) {
		r.SetOutcome(lagoon.RequestRefused)
		r.SetRetryAfter(row.RecordRef().HeldFor(now))
	}
	r.SetReason("the request ends the servers that run it: " + describe(row, now))
	req.SetResponse(r)
	req.SetDecided(true)
	l.MarkDecided(id)
}

// describe describes the evidence against a request.
func describe(row *cases.Row, now time.Duration) string {
	text := "servers that ended under it:"
	for _, e := range row.RecordRef().Ends() {
		text += fmt.Sprintf(" %s of %s %s ago, sent %s before, under other suspects too: %t;", e.Server(), e.Service(), (now - e.EndedAt()).Round(time.Millisecond), (e.EndedAt() - e.SentAt()).Round(time.Millisecond), e.Shared())
	}
	return text
}

// fingerprintOf returns the fingerprint of a request, or an empty string if it has none. What an
// organisation asks may end servers that another one, which asks the same, does not harm.
func fingerprintOf(req *reqs.Row) string {
	if req.Fingerprint() != "" {
		return req.Fingerprint()
	}
	request := req.Request()
	f, ok := request.Payload().(lagoon.Fingerprinter)
	if !ok {
		return ""
	}
	fingerprint := f.Fingerprint()
	if req.Organisation() != "" {
		fingerprint += "/" + req.Organisation()
	}
	req.SetFingerprint(fingerprint)
	return fingerprint
}

// Identifiable reports whether a request can be recognised when it comes again, so that it matters
// whether a server ends under it.
func Identifiable(req *reqs.Row) bool {
	request := req.Request()
	_, ok := request.Payload().(lagoon.Fingerprinter)
	return ok
}

// Find returns what is known of a request, or false if no server ended under it.
func Find(l *loop.Loop, req *reqs.Row) (*cases.Row, bool) {
	if l.Cases().Len() == 0 {
		return nil, false
	}
	return l.Cases().Find(fingerprintOf(req))
}

// Verdict returns what is known of a request at the servers of a service.
func Verdict(l *loop.Loop, req *reqs.Row, service string, now time.Duration) lagoon.Verdict {
	row, ok := Find(l, req)
	if !ok {
		return lagoon.VerdictNone
	}
	return row.RecordRef().Verdict(service, now)
}

// Hold reports whether an attempt of a suspect waits: for one that is in flight, of any shard or, if
// some service has answered the request, of the same one; and for servers that others are about to end.
func Hold(l *loop.Loop, req *reqs.Row, shard *shards.Row, now time.Duration) bool {
	row, ok := Find(l, req)
	if !ok || row.RecordRef().Verdict(shard.Service(), now) != lagoon.VerdictSuspect {
		return false
	}
	if row.RecordRef().Answered() {
		return shard.Inflight() > 0
	}
	if now < row.RecordRef().NextTry() {
		return true
	}
	return slices.ContainsFunc(req.Shards(), func(id lagoon.RowID) bool {
		other, ok := l.Shards().Resolve(id)
		return ok && other.Inflight() > 0
	})
}
