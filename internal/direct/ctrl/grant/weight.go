package grant

import (
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/subset"
)

// Times and rates of weights.
const (
	rememberTime = 10 * time.Minute                         // for which the traffic of an announced node that is not heard counts; it may be running beyond a broken link, and links are broken for minutes
	shareTime    = rememberTime - 2*beats.HeartbeatInterval // for which a node uses its share if no hub assigns it again; ends before the hubs forget the node
	forgetStop   = 5 * time.Second                          // for which the traffic of a node that stops counts after its last heartbeat
	newHubTime   = 2 * time.Second                          // for which a new hub has not heard all nodes yet; spans several heartbeats
	priorRate    = 0.1                                      // requests per second of a node that callers are referred to, before rates are known
	smallPrior   = 0.01 * priorRate                         // of any other node
)

// shareWeight is the weight of the last interval between two heartbeats in the share that a hub
// assigns to a node. A sudden change of all rates reaches the hub node by node, and must not
// distort the shares by which nodes go on if they are cut off at this moment.
const shareWeight = 0.2

// traffic returns the traffic of a node, by which weights are computed.
func traffic(m lagoon.Member, rate, largest float64) float64 {
	if subset.Large(m.Cores(), largest) {
		return rate + priorRate
	}
	return rate + smallPrior
}

// largestNode returns the number of cores of the largest node.
func largestNode(s *state.State) float64 {
	largest := s.Self().Cores()
	for i := range s.Peers().Len() {
		largest = max(largest, s.Peers().At(i).Member().Cores())
	}
	return largest
}

// isHeard reports whether this node heard another one lately.
func isHeard(row *peers.Row, now time.Duration) bool {
	at := max(row.HeartbeatAt(), row.AskedAt())
	return at > 0 && now-at < heardTimeout
}

// mayRun reports whether a node that is not heard may be running. One that was never heard since
// this node started may have been running beyond a broken link all the while.
func mayRun(row *peers.Row, now time.Duration) bool {
	at := max(row.HeartbeatAt(), row.AskedAt(), row.LiveAt())
	if at == 0 {
		return now-row.KnownAt() < rememberTime
	}
	if row.Stopping() {
		return now-at < forgetStop
	}
	return now-at < rememberTime
}

// weigh returns the weight of this node as a granter: the share of all traffic of the nodes that
// it hears, times the part of this traffic whose nodes name it.
func weigh(s *state.State, now time.Duration) float64 {
	l, self := s.Ledger(), s.Self()
	if !s.Hub() {
		l.SetHubSince(0)
		if now-l.ShareAt() >= shareTime {
			l.SetShare(0)
		}
		if l.Granter() == self.Name() {
			return l.Share()
		}
		return 0
	}
	if l.HubSince() == 0 {
		l.SetHubSince(now)
		l.SetHeardLimit(0)
	}
	largest := largestNode(s)
	own := traffic(self, s.RequestRate(), largest)
	named, heard := 0.0, own
	if l.Granter() == self.Name() {
		named = own
	}
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if !isHeard(row, now) {
			continue
		}
		t := traffic(row.Member(), row.RequestRate(), largest)
		heard += t
		if row.Granter() == self.Name() {
			named += t
		}
	}
	share := heardShare(s, largest, now)
	l.SetHeardShare(share)
	if now-l.AssignedAt() >= beats.HeartbeatInterval {
		l.SetAssignedAt(now)
		assign(s, share/heard, largest, now)
	}
	return share * named / heard
}

// heardShare returns the share of all traffic of the nodes that this hub hears. The nodes that it
// does not hear may be running and use the shares that they had. A hub that has not been one when
// it last heard them does not know these, and adds up the shares that the others report. After
// newHubTime the sum does not exceed what it was before. It may fall and rise below that limit, so
// that a short stall does not reduce the quota for as long as a killed node may be running.
func heardShare(s *state.State, largest float64, now time.Duration) float64 {
	l := s.Ledger()
	own := traffic(s.Self(), 0, largest)
	reported, missing, unknown := l.Share(), 0.0, false
	prior, allPrior := own, own
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		switch {
		case isHeard(row, now):
			reported += row.TrafficShare()
			prior += traffic(row.Member(), 0, largest)
			allPrior += traffic(row.Member(), 0, largest)
		case mayRun(row, now):
			missing += max(row.AssignedShare(), row.TrafficShare())
			unknown = unknown || row.AssignedAt() < l.HubSince() || row.AssignedAt() == 0
			allPrior += traffic(row.Member(), 0, largest)
		}
	}
	known := max(1-missing, 0)
	share := known
	switch {
	case !unknown:
	case reported == 0: // no node has a share yet, as after a start of all nodes
		share = prior / allPrior
	case now-l.HubSince() >= newHubTime:
		return min(reported, l.HeardLimit(), known)
	default:
		share = min(reported, 1)
	}
	l.SetHeardLimit(max(l.HeardLimit(), share))
	return share
}

// smooth returns a share that follows its target slowly.
func smooth(old, target float64) float64 {
	if old == 0 {
		return target
	}
	return old + shareWeight*(target-old)
}

// assign updates the shares that this hub assigns to the nodes that it hears.
func assign(s *state.State, shareOfTraffic, largest float64, now time.Duration) {
	l := s.Ledger()
	l.SetShare(smooth(l.Share(), shareOfTraffic*traffic(s.Self(), s.RequestRate(), largest)))
	l.SetShareAt(now)
	for i := range s.Peers().Len() {
		row := s.Peers().At(i)
		if !isHeard(row, now) {
			continue
		}
		old := row.AssignedShare()
		if row.AssignedAt() < l.HubSince() || row.AssignedAt() == 0 {
			old = row.TrafficShare()
		}
		row.SetAssignedShare(smooth(old, shareOfTraffic*traffic(row.Member(), row.RequestRate(), largest)))
		row.SetAssignedAt(now)
	}
}

// receiveShares adopts the share that this node's granter assigned to it, or any hub if it has
// none. Hubs of the earlier release assign none, but say how much traffic there is.
func receiveShares(s *state.State, now time.Duration) {
	l := s.Ledger()
	for _, m := range s.Heartbeats() {
		from := m.From()
		accepted := from.Name() == l.Granter() || l.Granter() == "" || l.Granter() == s.Self().Name()
		if m.Hub() && m.AssignedShare() > 0 && !s.Hub() && accepted {
			l.SetShare(min(m.AssignedShare(), 1))
			l.SetShareAt(now)
		}
		if m.Hub() && m.Granter() == "" && !s.Hub() && l.Granter() == s.Self().Name() && m.TotalRequestRate() > 0 && s.RequestRate() > 0 {
			l.SetShare(smooth(l.Share(), min(s.RequestRate()/m.TotalRequestRate(), 1)))
			l.SetShareAt(now)
		}
	}
}
