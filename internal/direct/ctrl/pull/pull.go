// Package pull starts the registry calls that are due.
//
// # Usage
//
//	systems = append(systems, pull.System{})
//
// A hub watches every topic all the time. Any other node calls the registry only
// when it starts, when it missed an update, when no hub sent a heartbeat within
// beats.HubTimeout, when the last confirmation of a topic is too old, or to find out
// whether calls that failed succeed again. Each call is billed, and all nodes share the
// registry's rate limit.
package pull

import (
	"cmp"
	"context"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/beats"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/ingest"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/topics"
)

// Bounds of the age of the catalog's last confirmation at which a node calls the registry
// although it has a hub.
const (
	minStaleAfter = 1200 * time.Millisecond // a watch of half a second and heartbeatMargin
	maxStaleAfter = 3 * time.Second         // bounds the time for which a hub that is cut off goes unnoticed
)

// defaultApplyTime is the time within which a change must be in force if the settings do
// not declare it.
const defaultApplyTime = 3 * time.Second

// callMargin is the part of that time which is kept for the call: a tick, and a failed call
// before the one that brings the change.
const callMargin = 700 * time.Millisecond

// heartbeatMargin is the time after a hub's watch has ended within which its confirmation
// reaches every node: a heartbeat interval, a tick, and a response of a slow registry.
const heartbeatMargin = 700 * time.Millisecond

// smallFleetPeers is the number of other nodes up to which a starting node reads
// all topics itself. In a larger fleet, the nodes that callers are not referred to
// wait for a hub instead.
const smallFleetPeers = 24

// membersWait is how long a starting node waits for the members before it reads
// the other topics as well. A small node takes some tenths of a second to read those of
// a large fleet; a call without a response fails after shortTimeout.
const membersWait = shortTimeout

// paceNodes is the number of nodes that may each call an unreachable registry once per
// MaxRetryDelay. In a larger fleet with hubs, the nodes call it less often, so that
// their total call rate stays that of paceNodes nodes.
const paceNodes = 16

// recheckInterval is the interval at which a node whose registry calls fail tries
// again while hubs watch the registry for it.
const recheckInterval = 4 * time.Second

// Timeouts of a call, in addition to the time that a watch waits. An unreachable
// registry may accept a call and never respond, even after it has recovered, so
// most calls have a short timeout. Every third attempt has a long one, for a
// registry that is only slow.
const (
	shortTimeout     = 500 * time.Millisecond  // responses take milliseconds, or a third of a second when 80 times slower
	longTimeout      = 2800 * time.Millisecond // covers responses that are 600 times slower
	longTimeoutEvery = 3
)

// watchWaits is how long a hub's watch of each topic waits for a change at most. A
// registry that has compacted its history may leave a watch waiting without an error, so
// the wait is short for topics whose changes must take effect soon.
var watchWaits = [...]time.Duration{
	lagoon.TopicCatalog:  2 * time.Second,         // a configuration change must be in force 3 s after it was accepted
	lagoon.TopicReplicas: 2 * time.Second,         // a draining server must get no requests 3 s after it announced that
	lagoon.TopicZones:    2500 * time.Millisecond, // a zone taken out must get no requests after 5 s
	lagoon.TopicMembers:  10 * time.Second,        // heartbeats show the live nodes sooner
	lagoon.TopicRollouts: 2 * time.Second,         // servers of a new version are not used before orders are known up to their announcement
}

// staleAfter returns the age of the catalog's last confirmation at which a node calls the
// registry although it has a hub. If the registry turns the hubs away, nothing else tells
// the other nodes in time that a change may be missing.
func staleAfter(s *state.State) time.Duration {
	applyTime := cmp.Or(s.ApplyTime(), defaultApplyTime)
	return min(max(applyTime-callMargin, minStaleAfter), maxStaleAfter)
}

// watchWait returns how long a hub's watch of a topic waits for a change. The nodes must
// hear of its end before they call the registry themselves.
func watchWait(s *state.State, topic lagoon.Topic) time.Duration {
	switch topic {
	case lagoon.TopicCatalog, lagoon.TopicReplicas, lagoon.TopicRollouts:
		return min(watchWaits[topic], staleAfter(s)-heartbeatMargin)
	}
	return watchWaits[topic]
}

// System calls the registry.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "pull" }

// Run starts the calls that are due.
func (System) Run(s *state.State, now time.Duration) {
	hasHub := beats.HasHub(s, now)
	if !s.RegistryReachable() && probeRunning(s) {
		return // only one call at a time probes an unreachable registry
	}
	for i := range s.Topics().Len() {
		row := s.Topics().At(i)
		if row.Calling() || now < row.RetryAt() || backingOff(s, row, hasHub, now) {
			continue
		}
		if !row.Synced() && deferRead(s, row, now) {
			continue
		}
		if row.Synced() && !s.Hub() && !row.Gap() && confirmed(s, row, hasHub, now) && !recheckDue(s, row, now) {
			continue
		}
		row.SetProbe(!s.RegistryReachable())
		startCall(s, row, hasHub)
		if row.Probe() {
			return
		}
	}
}

// confirmed reports whether a node that is not a hub may use a topic without calling the
// registry: whether its last confirmation is not too old, or the next heartbeat of the hub that
// pushed the topic may still tell the age.
func confirmed(s *state.State, row *topics.Row, hasHub bool, now time.Duration) bool {
	if since := row.UnconfirmedSince(); since > 0 {
		return now-since < heartbeatMargin
	}
	return now-row.ConfirmedAt() < maxAge(s, row, hasHub)
}

// maxAge returns the age of a confirmation up to which a node that is not a hub
// uses a topic without calling the registry.
func maxAge(s *state.State, row *topics.Row, hasHub bool) time.Duration {
	if !hasHub {
		return beats.HubTimeout
	}
	return staleAfter(s) + watchWait(s, row.Topic()) - watchWait(s, lagoon.TopicCatalog)
}

// deferRead reports whether the first read of a topic should wait: that of the members
// until the other nodes have announced themselves, and that of any other topic until
// the members are known or a hub has pushed the topic.
func deferRead(s *state.State, row *topics.Row, now time.Duration) bool {
	age := now - s.StartedAt()
	if row.Topic() == lagoon.TopicMembers {
		return age < s.AnnounceWait()
	}
	switch members, ok := s.Topics().Find(lagoon.TopicMembers.String()); {
	case s.Hub() || s.HubWait() == 0:
		return false
	case s.AnnounceWait() > 0:
		return age < s.HubWait() // the whole deployment is starting, well before callers arrive
	case !ok || !members.Synced():
		// While reads of the members fail, reads of other topics would fail as well.
		return age < membersWait || (ok && members.Failures() > 0)
	}
	return s.Peers().Len() > smallFleetPeers && !beats.IsReferralTarget(s, now) && now-s.MembersReadAt() < s.HubWait()
}

// backingOff reports whether this node refrains from calling a registry that did
// not respond, as the hubs probe the registry. It calls for a change that it knows to be missing
// once a hub has told that the registry answers, because no push may bring that change. Nor does it
// leave the calls to hubs that the registry turns away while it has served this node lately.
func backingOff(s *state.State, row *topics.Row, hasHub bool, now time.Duration) bool {
	if !hasHub || s.Hub() || s.CallsFailingSince() == 0 || (row.Gap() && s.RegistryReachable()) {
		return false
	}
	pace := time.Duration(s.Peers().Len()/paceNodes) * ingest.MaxRetryDelay
	if now-s.CallSucceededAt() < pace && beats.HubsTurnedAway(s, now) {
		return false
	}
	return now-s.LastCallFailedAt() < pace
}

// recheckDue reports whether a node whose registry calls failed should try again,
// so that it may become a hub again. A call for one topic is enough.
func recheckDue(s *state.State, row *topics.Row, now time.Duration) bool {
	return row.Topic() == lagoon.TopicCatalog && beats.CutOff(s, now) && now-s.LastCallFailedAt() >= recheckInterval
}

// probeRunning reports whether a call that probes an unreachable registry is in
// progress.
func probeRunning(s *state.State) bool {
	for i := range s.Topics().Len() {
		if row := s.Topics().At(i); row.Calling() && row.Probe() {
			return true
		}
	}
	return false
}

// callTimeout returns the timeout of the next call, in addition to its wait.
func callTimeout(row *topics.Row) time.Duration {
	if row.Failures()%longTimeoutEvery == longTimeoutEvery-1 {
		return longTimeout
	}
	return shortTimeout
}

// startCall starts a read of a topic that was not received yet, or a watch for
// changes to it.
func startCall(s *state.State, row *topics.Row, hasHub bool) {
	row.SetCalling(true)
	now := s.Clock().Now()
	topic, revision, timeout := row.Topic(), row.Revision(), callTimeout(row)
	if !row.Synced() || row.HistoryGone() {
		s.Call(topic, func(ctx context.Context) (lagoon.RegistryUpdate, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return s.Registry().Read(ctx, topic)
		})
		return
	}
	wait := watchWait(s, topic)
	switch {
	case row.Gap() || row.Probe() || (hasHub && !s.Hub()):
		wait = 0
	case s.Hub():
		wait = max(row.ConfirmedAt()+wait-now, 0) // the other nodes wait for the next confirmation
	}
	s.Call(topic, func(ctx context.Context) (lagoon.RegistryUpdate, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+timeout)
		defer cancel()
		return s.Registry().Watch(ctx, topic, revision, wait)
	})
}
