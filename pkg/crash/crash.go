// Package crash decides whether a request ends the servers that run it.
//
// # Usage
//
//	var r crash.Record
//	r.End(end)                        // a server ended while it had the request
//	r.Answer(service, now)            // a server answered it
//	if r.Sufficient() && !other.Outweighs(&r) { r.Convict() }
//	if r.Verdict(service, now) == lagoon.VerdictDeadly { reject(r.HeldFor(now)) }
//
// The load pattern: a request that crashes each server that runs it comes again and again, at
// many nodes, among requests that look alike and run beside it. When a server ends, every request
// that it had is a suspect, and so it is when an availability zone loses its power. So a request is
// blamed only for what several servers show, one after the other: three server runs ended under it,
// at two moments at least, one of them under no other suspect, and none answered it since. As the
// servers of a deadly request end one after the other, those beside it may lose several attempts as
// well: of the suspects of one time the one under which most servers ended is blamed, and what ended
// while it was tried no longer counts against the others. The callers need the servers more than one
// answer, so a suspect is tried at one server at a time.
//
// A request for many shards may end the servers of some services only. It is blamed for the
// services that did not answer it since. The caller supplies the time, and all state is bounded.
package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoontrail/lagoon"
)

// What makes a suspect deadly.
const (
	deadlyRuns    = 3 // server runs that ended; two may be a coincidence of a crash and the retry after it
	deadlyMoments = 2 // moments, as all servers of one moment may have had one cause
	surelyRuns    = 8 // server runs for which others need not have settled: hardly any other request loses as many without an answer
)

// How long evidence counts.
const (
	holdTime    = time.Minute      // after the last end for which a deadly request is rejected; then one server shows whether it still is
	forgetTime  = 10 * time.Minute // after the last end for which a deadly request remains a suspect
	suspectTime = time.Minute      // after the last end for which any other request remains a suspect
)

// settleTime is the time after the end of a server in which others may end that already have the
// same request.
const settleTime = 100 * time.Millisecond

// manyEnds is the number of server runs from which a suspect waits for others to settle. The requests
// of one server that crashes are repeated at once.
const manyEnds = 2

// rivalTime is the time between two ends that may have one cause. A server ends within a tenth of a
// second after it began to run a deadly request, and may have had it in its queue for as long.
const rivalTime = 250 * time.Millisecond

// Bounds of a record.
const (
	maxEnds     = 16 // server runs; more show nothing new
	maxAnswered = 64 // services
)

// Record is what is known of one request. The zero value is a request without evidence.
type Record struct {
	ends      []lagoon.ServerEnd
	answered  []answer // the services that answered it, and of which no server ended since
	convicted bool     // whether the request is blamed for the ends
}

// answer is the last answer of a service.
type answer struct {
	service string
	at      time.Duration
}

// Ends returns the ends of servers that count against the request, oldest first.
func (r *Record) Ends() []lagoon.ServerEnd { return r.ends }

// LastEnd returns when the last of the servers ended, or 0 if none did.
func (r *Record) LastEnd() time.Duration {
	if len(r.ends) == 0 {
		return 0
	}
	return r.ends[len(r.ends)-1].EndedAt()
}

// End adds the end of a server run that had the request. It reports whether that is news. One that
// is older than an answer of its service is not, nor is one for which there is no room: those that
// are kept do not depend on the order in which nodes learn of them, so that nodes that tell each
// other come to an end.
func (r *Record) End(e lagoon.ServerEnd) bool {
	for i := range r.ends {
		if known := &r.ends[i]; known.Server() == e.Server() && known.StartedMilli() == e.StartedMilli() {
			news := e.Shared() && !known.Shared()
			known.SetShared(known.Shared() || e.Shared())
			return news
		}
	}
	if slices.ContainsFunc(r.answered, func(a answer) bool { return a.service == e.Service() && a.at >= e.EndedAt() }) {
		return false
	}
	r.ends = append(r.ends, e)
	slices.SortStableFunc(r.ends, func(a, b lagoon.ServerEnd) int { return cmp.Compare(a.EndedAt(), b.EndedAt()) })
	if len(r.ends) > maxEnds {
		dropped := r.ends[1] // the first and the last ones are those of different moments
		r.ends = slices.Delete(r.ends, 1, 2)
		if dropped.Server() == e.Server() && dropped.StartedMilli() == e.StartedMilli() {
			return false
		}
	}
	r.answered = slices.DeleteFunc(r.answered, func(a answer) bool { return a.service == e.Service() })
	return true
}

// Share notes that a server run had another suspect as well, and reports whether its end counts
// against this request.
func (r *Record) Share(server string, startedMilli int64) bool {
	for i := range r.ends {
		if e := &r.ends[i]; e.Server() == server && e.StartedMilli() == startedMilli {
			e.SetShared(true)
			return true
		}
	}
	return false
}

// Answer notes that a server of a service answered the request and runs on. What ended before
// under the request in this service ended for another reason.
func (r *Record) Answer(service string, now time.Duration) {
	switch i := slices.IndexFunc(r.answered, func(a answer) bool { return a.service == service }); {
	case i >= 0:
		r.answered[i].at = now
	case len(r.answered) < maxAnswered:
		r.answered = append(r.answered, answer{service, now})
	}
	r.drop(func(e lagoon.ServerEnd) bool { return e.Service() == service })
}

// drop removes ends that do not count any more.
func (r *Record) drop(obsolete func(e lagoon.ServerEnd) bool) {
	r.ends = slices.DeleteFunc(r.ends, obsolete)
	r.convicted = r.convicted && len(r.ends) > 0
}

// Sufficient reports whether the ends are enough to blame the request, unless another one is the
// likelier cause.
func (r *Record) Sufficient() bool {
	if !r.Answered() {
		return convicting(r.ends)
	}
	return slices.ContainsFunc(r.ends, func(e lagoon.ServerEnd) bool { return convicting(r.endsOf(e.Service())) })
}

// Outweighs reports whether this request is a likelier cause of what ended under another one: more
// servers ended under it at the same time, and it is not blamed yet.
func (r *Record) Outweighs(other *Record) bool {
	if r.convicted || len(r.ends) <= len(other.ends) || len(other.ends) == 0 {
		return false
	}
	return r.ends[0].SentAt() <= other.LastEnd() && r.LastEnd() >= other.ends[0].SentAt()-rivalTime
}

// Convict blames the request for the ends.
func (r *Record) Convict() { r.convicted = true }

// Convicted reports whether the request is blamed.
func (r *Record) Convicted() bool { return r.convicted }

// Explain removes the ends that have another request as their cause, which is blamed: what ended
// while it was tried.
func (r *Record) Explain(cause *Record) {
	if len(cause.ends) == 0 {
		return
	}
	from, to := cause.ends[0].SentAt(), cause.LastEnd()+rivalTime
	r.drop(func(e lagoon.ServerEnd) bool { return !r.convicted && e.EndedAt() >= from && e.EndedAt() <= to })
}

// endsOf returns the ends of servers of one service.
func (r *Record) endsOf(service string) []lagoon.ServerEnd {
	var out []lagoon.ServerEnd
	for _, e := range r.ends {
		if e.Service() == service {
			out = append(out, e)
		}
	}
	return out
}

// Answered reports whether any service answered the request.
func (r *Record) Answered() bool { return len(r.answered) > 0 }

// Verdict returns what is known of the request at the servers of a service.
func (r *Record) Verdict(service string, now time.Duration) lagoon.Verdict {
	if slices.ContainsFunc(r.answered, func(a answer) bool { return a.service == service }) {
		return lagoon.VerdictNone
	}
	if r.Answered() {
		return r.verdict(r.endsOf(service), now)
	}
	return r.verdict(r.ends, now)
}

// Overall returns what is known of the request at the servers of any service: whether it is a
// suspect or deadly at all of them. It is neither once a service has answered it.
func (r *Record) Overall(now time.Duration) lagoon.Verdict {
	if r.Answered() {
		return lagoon.VerdictNone
	}
	return r.verdict(r.ends, now)
}

// NextTry returns when a suspect that no server answered may be tried again: once the servers have
// ended that another request is about to end.
func (r *Record) NextTry() time.Duration {
	if r.Answered() || len(r.ends) < manyEnds || len(r.ends) >= surelyRuns {
		return 0
	}
	return r.LastEnd() + settleTime
}

// HeldFor returns for how long a deadly request is rejected.
func (r *Record) HeldFor(now time.Duration) time.Duration { return max(r.LastEnd()+holdTime-now, 0) }

// Expired reports whether the record says nothing any more.
func (r *Record) Expired(now time.Duration) bool {
	if len(r.ends) == 0 {
		return true
	}
	age := now - r.LastEnd()
	return age >= forgetTime || (age >= suspectTime && !r.convicted)
}

func (r *Record) verdict(ends []lagoon.ServerEnd, now time.Duration) lagoon.Verdict {
	if len(ends) == 0 {
		return lagoon.VerdictNone
	}
	age := now - ends[len(ends)-1].EndedAt()
	switch deadly := r.convicted && repeated(ends); { // that others were there too does not clear it any more
	case deadly && age < holdTime:
		return lagoon.VerdictDeadly
	case age < suspectTime || (deadly && age < forgetTime):
		return lagoon.VerdictSuspect
	}
	return lagoon.VerdictNone
}

// convicting reports whether the ends of servers, in the order of time, show that a request is
// deadly.
func convicting(ends []lagoon.ServerEnd) bool {
	alone := slices.ContainsFunc(ends, func(e lagoon.ServerEnd) bool { return !e.Shared() })
	return alone && repeated(ends)
}

// repeated reports whether enough servers ended, at different moments.
func repeated(ends []lagoon.ServerEnd) bool {
	return (len(ends) >= deadlyRuns && settledMoments(ends) >= deadlyMoments) || (len(ends) >= surelyRuns && moments(ends) >= deadlyMoments)
}

// moments returns the number of moments at which servers ended. One is another than the last if
// the server got the request only after that.
func moments(ends []lagoon.ServerEnd) int {
	n, last := 0, time.Duration(0)
	for i := range ends {
		if e := &ends[i]; n == 0 || e.SentAt() >= last {
			n, last = n+1, e.EndedAt()
		}
	}
	return n
}

// settledMoments returns the number of moments of which each began only once the one before had
// settled.
func settledMoments(ends []lagoon.ServerEnd) int {
	n, last := 0, time.Duration(0)
	for i := range ends {
		e := &ends[i]
		if n == 0 || e.SentAt() >= last+settleTime {
			n++
		}
		last = max(last, e.EndedAt())
	}
	return n
}
