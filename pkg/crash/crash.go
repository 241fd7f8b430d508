// Package crash decides whether a request ends the servers that run it.
//
// # Usage
//
//	var r crash.Record
//	r.End(end)                        // a server ended while it had the request
//	r.Answer(service, now)            // a server answered it
//	if r.Verdict(service, now) == lagoon.VerdictDeadly { reject(r.HeldFor(now)) }
//
// The load pattern: a request that crashes each server that runs it comes again and again, at
// many nodes, among requests that look alike and run beside it. When a server ends, every request
// that it had is a suspect, and so it is when an availability zone loses its power. So a request is
// blamed only for what several servers show, one after the other: three server runs ended under it,
// at two moments at least, one of them under no other suspect, and none answered it since. The
// callers need the servers more than one answer, so a suspect is tried at one server at a time.
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
)

// How long evidence counts.
const (
	holdTime    = time.Minute      // after the last end for which a deadly request is rejected; then one server shows whether it still is
	forgetTime  = 10 * time.Minute // after the last end for which a deadly request remains a suspect
	suspectTime = time.Minute      // after the last end for which any other request remains a suspect
)

// Bounds of a record.
const (
	maxEnds     = 8  // server runs; more show nothing new
	maxAnswered = 64 // services
)

// Record is what is known of one request. The zero value is a request without evidence.
type Record struct {
	ends     []lagoon.ServerEnd
	answered []answer // the services that answered it, and of which no server ended since
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
	r.ends = slices.DeleteFunc(r.ends, func(e lagoon.ServerEnd) bool { return e.Service() == service })
}

// Answered reports whether any service answered the request.
func (r *Record) Answered() bool { return len(r.answered) > 0 }

// Verdict returns what is known of the request at the servers of a service.
func (r *Record) Verdict(service string, now time.Duration) lagoon.Verdict {
	if slices.ContainsFunc(r.answered, func(a answer) bool { return a.service == service }) {
		return lagoon.VerdictNone
	}
	return r.verdict(now, func(e *lagoon.ServerEnd) bool { return !r.Answered() || e.Service() == service })
}

// Overall returns what is known of the request at the servers of any service: whether it is a
// suspect or deadly at all of them. It is neither once a service has answered it.
func (r *Record) Overall(now time.Duration) lagoon.Verdict {
	if r.Answered() {
		return lagoon.VerdictNone
	}
	return r.verdict(now, func(*lagoon.ServerEnd) bool { return true })
}

// HeldFor returns for how long a deadly request is rejected.
func (r *Record) HeldFor(now time.Duration) time.Duration { return max(r.LastEnd()+holdTime-now, 0) }

// Expired reports whether the record says nothing any more.
func (r *Record) Expired(now time.Duration) bool {
	if len(r.ends) == 0 {
		return true
	}
	age := now - r.LastEnd()
	return age >= forgetTime || (age >= suspectTime && !convicting(r.ends))
}

func (r *Record) verdict(now time.Duration, counts func(e *lagoon.ServerEnd) bool) lagoon.Verdict {
	var ends []lagoon.ServerEnd
	for i := range r.ends {
		if counts(&r.ends[i]) {
			ends = append(ends, r.ends[i])
		}
	}
	if len(ends) == 0 {
		return lagoon.VerdictNone
	}
	age := now - ends[len(ends)-1].EndedAt()
	switch deadly := convicting(ends); {
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
	return alone && len(ends) >= deadlyRuns && moments(ends) >= deadlyMoments
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
