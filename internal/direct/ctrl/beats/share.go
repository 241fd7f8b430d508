package beats

import (
	"time"

	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/subset"
)

// shareDivisorStep is the relative change of the share divisor that causes a new
// view to be published.
const shareDivisorStep = 0.1

// isolationTimeout is the time for which a node that hears no other node does not raise its
// share. Cuts between nodes last for minutes; one that is the last one left manages with its
// share of the limits.
const isolationTimeout = 10 * time.Minute

// requestRateWeight is the weight of the last interval in the moving average of a
// node's request rate.
const requestRateWeight = 0.5

// updateRequestRate adds the rate since the last heartbeat to the moving average of
// this node's request rate.
func updateRequestRate(s *state.State, elapsed time.Duration) {
	if s.RequestCount() == nil || elapsed <= 0 {
		return
	}
	requests := s.RequestCount().Load()
	lastRate := float64(requests-s.LastRequestCount()) / elapsed.Seconds()
	s.SetLastRequestCount(requests)
	s.SetRequestRate(s.RequestRate() + requestRateWeight*(lastRate-s.RequestRate()))
}

// totalRequestRate returns the requests per second of all nodes, as far as their
// heartbeats reached this node.
func totalRequestRate(s *state.State, now time.Duration) float64 {
	sum := s.RequestRate()
	for i := range s.Peers().Len() {
		if row := s.Peers().At(i); heartbeatWithin(row, now, forgetTimeout) {
			sum += row.RequestRate()
		}
	}
	return sum
}

// shareDivisor returns the number by which this node divides the servers' limits
// to get its share: the request rate of all nodes relative to its own. While no
// rates are known, it is the number of nodes that callers are referred to, or of
// all nodes for a node that is not one of them. It does not fall while the node is isolated.
func shareDivisor(s *state.State, now time.Duration) float64 {
	n := currentDivisor(s, now)
	if isolated(s, now) {
		return max(n, s.ShareDivisor())
	}
	return n
}

// coldDivisor returns the number by which this node divides the rate of a cold server to get its
// share. A part of the fleet that is cut off from the others still counts them, as both parts reach
// the server, which crashes above its rate. A node that has failed takes its share along for that
// time, which a server that is cold for seconds does not miss.
func coldDivisor(s *state.State, now time.Duration) float64 {
	counted, known := 1, 1
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if mayBeRunning(row, now) {
			counted++
		}
		if mayBeRunning(row, now) || (!row.Stopping() && now-lastSign(row) < isolationTimeout) {
			known++
		}
	}
	return s.ShareDivisor() * float64(known) / float64(counted)
}

// isolated reports whether this node has heard no other node for NodeTimeout, but did so
// within isolationTimeout. The others may still be running and using their shares.
func isolated(s *state.State, now time.Duration) bool {
	last := s.StartedAt()
	for i := range s.Peers().Len() {
		last = max(last, s.Peers().At(i).HeartbeatAt())
	}
	silence := now - last
	return s.Peers().Len() > 0 && silence > NodeTimeout && silence < isolationTimeout
}

// currentDivisor returns the share divisor by the nodes that may be running.
func currentDivisor(s *state.State, now time.Duration) float64 {
	rate := 0.0
	if s.Hub() {
		rate = totalRequestRate(s, now)
	}
	nodes, targets := 1.0, 1.0
	largest := maxCores(s, now)
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if row.Hub() && heartbeatWithin(row, now, forgetTimeout) {
			rate = max(rate, row.TotalRequestRate())
		}
		if mayBeRunning(row, now) {
			nodes++
			if subset.Large(row.Member().Cores(), largest) {
				targets++
			}
		}
	}
	switch {
	case rate > 0 && s.RequestRate() > 0:
	case subset.Large(s.Self().Cores(), largest):
		return targets
	default:
		return nodes
	}
	return min(max(rate/s.RequestRate(), 1), nodes)
}

// IsReferralTarget reports whether callers are referred to this node: whether it
// is large compared with the largest node.
func IsReferralTarget(s *state.State, now time.Duration) bool {
	return subset.Large(s.Self().Cores(), maxCores(s, now))
}

// maxCores returns the number of cores of the largest node that may be running.
func maxCores(s *state.State, now time.Duration) float64 {
	largest := s.Self().Cores()
	for i := range s.Peers().Len() {
		if row := s.Peers().At(i); mayBeRunning(row, now) {
			largest = max(largest, row.Member().Cores())
		}
	}
	return largest
}
