package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/grants"
	"github.com/lagoontrail/lagoon/internal/direct/ctrl/rollo"
	"github.com/lagoontrail/lagoon/internal/direct/peers"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/internal/direct/tally"
	"github.com/lagoontrail/lagoon/internal/mbox"
)

// BenchmarkDecide measures what one open roll-out costs the decider in a heartbeat interval: the
// reports of all nodes with three routes each, the decision, and the grants.
func BenchmarkDecide(b *testing.B) {
	for _, nodes := range []int{300, 4800} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			f := &fleet{now: time.Second}
			s, stop := state.New(mbox.New(16))
			defer stop()
			var self lagoon.Member
			self.SetName("a")
			s.SetSelf(self)
			s.SetClock(f)
			s.EnableRollouts()
			s.SetTally(&tally.Tally{})
			s.SetHub(true)
			var order lagoon.Rollout
			order.SetService("desk")
			order.SetTargetVersion("v2")
			order.SetDuration(time.Hour)
			order.SetRevision(1)
			s.Orders().Ensure("desk").Apply(order, f.now)
			var beats []*lagoon.Heartbeat
			for i := range nodes {
				var m lagoon.Member
				m.SetName(fmt.Sprintf("node-%04d", i))
				s.Peers().Ensure(m.Name()).SetMember(m)
				heartbeat := &lagoon.Heartbeat{}
				heartbeat.SetFrom(m)
				beats = append(beats, heartbeat)
			}
			n := uint64(0)
			look := func() (granted int) {
				n++
				f.now += 500 * time.Millisecond
				for i, heartbeat := range beats {
					heartbeat.SetSent(f.now)
					heartbeat.SetRolloutReports([]lagoon.RolloutReport{reportOf(n)})
					grants.Receive(s, heartbeat, f.now)
					peer := s.Peers().At(i)
					peer.SetHeartbeatAt(f.now)
				}
				rollo.System{}.Run(s, f.now)
				for i := range s.Peers().Len() {
					granted += len(grants.For(s, nameOf(s.Peers().At(i)), f.now))
				}
				return granted
			}
			for range 4 { // a new hub does not decide before that
				look()
			}
			b.ReportAllocs()
			for b.Loop() {
				if granted := look(); granted != nodes {
					b.Fatalf("grants: got %d, want %d", granted, nodes)
				}
			}
		})
	}
}

func nameOf(row *peers.Row) string {
	m := row.Member()
	return m.Name()
}

// reportOf returns the n-th report of a node.
func reportOf(n uint64) lagoon.RolloutReport {
	var r lagoon.RolloutReport
	r.SetService("desk")
	r.SetTargetVersion("v2")
	r.SetRevision(1)
	for _, route := range []string{"browse", "buy", "settle"} {
		var c lagoon.RolloutCounts
		c.SetRoute(route)
		c.SetOld(20 * n)
		c.SetTarget(n)
		r.SetCounts(append(r.Counts(), c))
	}
	return r
}
