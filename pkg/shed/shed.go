// Package shed decides which requests are refused when a service has too little capacity.
//
// # Usage
//
//	var p shed.Policy
//	limit := p.Limit(c)            // the work to admit, from feedback of the servers
//	ok, retryAfter := p.Admit(v)   // one request
//
// There is no limit before all servers of so many services are late that a
// route cannot be served within its objective. From then on the work that is admitted follows
// the waits at the servers: it falls while they exceed their target, and rises otherwise. Requests that return
// sooner than told get what the first requests of their organisation leave of its share.
package shed

import (
	"math"
	"time"

	"github.com/lagoontrail/lagoon"
)

// The control of the admitted work.
const (
	startShare     = 0.9  // of the completed work, the first limit: the queues have to shrink
	gain           = 1.5  // the change of the limit in a second, for each unit of pressure off its target of 1
	maxRise        = 1.0  // the most pressure below the target that counts
	maxFall        = 1.0  // the most pressure above the target that counts
	minServedShare = 0.7  // of the completed work, below which the limit does not fall
	releaseFactor  = 1.3  // a limit above this multiple of the offered work ends
	minLimit       = 0.01 // in seconds of work per second, so that a limit can rise again
)

// tolerance is the ratio of demand to share below which nothing is refused: the demand of an
// organisation that sends a few requests a second to a node varies by a third, and the limit by as much.
const tolerance = 2

// Retry-After of refused requests.
const (
	baseDelay  = 250 * time.Millisecond // of the most urgent rank; each further one waits as much longer
	maxExcess  = 8.0                    // the ratio of offered to admitted work up to which the delay grows
	lateFactor = 2.0                    // for requests that could not be answered before their deadline
	maxRank    = 7                      // the delay does not grow with further ranks
)

// Policy is a lagoon.AdmissionPolicy. It has no state; the zero value is usable.
type Policy struct{}

// Admit reports whether a request is admitted, and otherwise the time after which its caller
// may return.
func (Policy) Admit(v lagoon.AdmissionView) (bool, time.Duration) {
	if v.ExpectedTime() > v.TimeLeft() {
		return false, delay(v, lateFactor)
	}
	if v.Jitter() < share(v) {
		return true, 0
	}
	return false, delay(v, min(max(v.Excess(), 1), maxExcess))
}

// share returns the share of requests like this one that find room.
func share(v lagoon.AdmissionView) float64 {
	if tolerance*v.FairShare() >= v.Demand() {
		return 1
	}
	if v.Returning() {
		return v.FairShare() / v.Demand()
	}
	return max(v.FairShare()/v.Demand(), v.RankFloor())
}

// delay returns a Retry-After between one and two times the base of the rank.
func delay(v lagoon.AdmissionView, factor float64) time.Duration {
	base := float64(baseDelay) * float64(1+min(max(v.Rank(), 0), maxRank))
	return time.Duration(base * factor * (1 + v.Spread()))
}

// Limit returns the work to admit, in seconds per second; infinite for no limit.
func (Policy) Limit(v lagoon.CapacityView) float64 {
	late := v.LateFor() > 0
	if math.IsInf(v.Limit(), 1) {
		if !late {
			return v.Limit()
		}
		return max(startShare*v.Served(), minLimit)
	}
	pressure := v.Pressure()
	if late {
		pressure = max(pressure, 1+maxFall)
	}
	limit := v.Limit() * math.Exp(gain*v.Interval().Seconds()*min(max(1-pressure, -maxFall), maxRise))
	if limit > releaseFactor*v.Offered() {
		return math.Inf(1)
	}
	return max(limit, min(v.Limit(), minServedShare*v.Served()), minLimit)
}
