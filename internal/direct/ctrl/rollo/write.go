package rollo

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/grants"
	"github.com/lagoontrail/lagoon/internal/direct/orders"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// Times of writes.
const (
	writeTimeout   = 1500 * time.Millisecond // of a write
	rewriteAfter   = time.Second             // after a write that failed, or whose effect has not been read yet
	maxDecisionAge = time.Second             // between a decision and the moment at which it is written
)

// switchedAge is the age up to which the report of a node that does not use the old versions
// counts: a lost heartbeat, and the way of the next.
const switchedAge = 1500 * time.Millisecond

// silentAfter is the time without a message after which the leases of a node have expired.
const silentAfter = grants.OldLease + time.Second

// allSwitched reports whether no node uses the old versions: each reported so or has been silent
// for longer than its leases.
func allSwitched(s *state.State, row *orders.Row, now time.Duration) bool {
	if !switched(row, s.Self().Name(), now) {
		return false
	}
	for i := range s.Peers().Len() {
		peer := s.Peers().At(i)
		if beats.MayBeRunning(peer, now) && !silent(row, peer, now) && !switched(row, peer.Member().Name(), now) {
			return false
		}
	}
	return true
}

// allReport reports whether each node that sends heartbeats has reported on the order lately. A
// node of an earlier release does not.
func allReport(s *state.State, row *orders.Row, now time.Duration) bool {
	for i := range s.Peers().Len() {
		peer := s.Peers().At(i)
		if peer.HeartbeatAt() == 0 || now-peer.HeartbeatAt() >= beats.NodeTimeout {
			continue
		}
		if report, ok := row.Reports()[peer.Member().Name()]; !ok || now-report.At() >= beats.NodeTimeout {
			return false
		}
	}
	return true
}

// switched reports whether a node's last report says that it does not use the old versions.
func switched(row *orders.Row, node string, now time.Duration) bool {
	report, ok := row.Reports()[node]
	if !ok {
		return false
	}
	r := report.Report()
	return r.Switched() && now-report.At() <= switchedAge
}

// silent reports whether all leases of a node have expired.
func silent(row *orders.Row, peer *peers.Row, now time.Duration) bool {
	last := max(peer.KnownAt(), peer.HeartbeatAt())
	if report, ok := row.Reports()[peer.Member().Name()]; ok {
		last = max(last, report.At())
	}
	return now-last >= silentAfter
}

// write writes the state of an order if the registry has another one.
func write(s *state.State, row *orders.Row, now time.Duration) {
	order := row.Order()
	if wanted := stateOf(s, row, now); wanted != order.State() {
		writeState(s, row, wanted, fmt.Sprintf("%s; %d nodes reported, order known for %s", row.Test().Evidence(), len(row.Reports()), row.Age()), now)
	}
}

// writeState writes a state of an order, unless that was done a moment ago.
func writeState(s *state.State, row *orders.Row, wanted lagoon.RolloutState, reason string, now time.Duration) {
	if s.RegistryWriter() == nil || row.Writing() || (row.WrittenAt() > 0 && row.WrittenState() == wanted && now-row.WrittenAt() < rewriteAfter) {
		return
	}
	row.SetWriting(true)
	row.SetWrittenAt(now)
	row.SetWrittenState(wanted)
	order := row.Order()
	s.Record("rollout_verdict", order.Service(), fmt.Sprintf("writes %s for target %s at %s: %s", wanted, order.TargetVersion(), epoch.Text(order.Revision()), reason))
	writer, clock := s.RegistryWriter(), s.Clock()
	mayWrite := func() error {
		if age := clock.Now() - now; age > maxDecisionAge {
			return errors.Errorf("the decision is %s old", age)
		}
		return nil
	}
	s.Write(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		return writer.WriteRollout(ctx, order, wanted, mayWrite)
	}, func(s *state.State, err error) { written(s, order, wanted, err) })
}

// written takes in the result of a write. The watch of the registry brings the new state; after
// a conflict it brings the one that another decider or an operator wrote.
func written(s *state.State, order lagoon.Rollout, wanted lagoon.RolloutState, err error) {
	row, ok := s.Orders().Find(order.Service())
	if !ok {
		return
	}
	row.SetWriting(false)
	if err != nil {
		s.Record("rollout_write_failed", order.Service(), fmt.Sprintf("state %s at %s: %v", wanted, epoch.Text(order.Revision()), err))
	}
}
