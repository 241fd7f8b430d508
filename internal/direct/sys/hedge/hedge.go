// Package hedge asks for a second attempt where the first runs longer than
// nearly all.
//
// # Usage
//
//	systems = append(systems, hedge.System{})
//
// Only idempotent requests are hedged, to at most as many servers as their
// route allows, out of the budget of extra attempts at the service.
package hedge

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/calls"
	"github.com/lagoontrail/lagoon/internal/direct/flow"
	"github.com/lagoontrail/lagoon/internal/direct/sends"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/due"
)

// Settings of the time after which an attempt is hedged.
const (
	budgetShare  = 0.6 // the share of the budget that ordinary slow attempts may use up; the rest is for stragglers
	capMedians   = 3   // the time in medians, at most, as stragglers among few records raise the quantile to theirs
	firstDivisor = 4   // the share of the objective before the times are known
)

// System hedges attempts.
type System struct{}

// Name returns the system's name.
func (System) Name() string { return "hedge" }

// Run hedges the attempts whose time has come.
func (System) Run(f *flow.Flow, now time.Duration) {
	for _, id := range f.DueRows(due.Leg) {
		s, ok := f.Sends().Resolve(id)
		if !ok || s.Ended() || s.Late() {
			continue
		}
		sh, ok := f.Shards().Resolve(s.Shard())
		if !ok || sh.State() != shards.Running || sh.Wants() || sh.Running() != 1 {
			continue
		}
		if c, ok := f.Calls().Resolve(s.Call()); ok && !c.Ended() {
			decide(f, id, s, sh, c, now)
		}
	}
}

func decide(f *flow.Flow, id lagoon.RowID, s *sends.Row, sh *shards.Row, c *calls.Row, now time.Duration) {
	if !c.Route().Idempotent() || sh.Tries() >= c.Route().Attempts() {
		return
	}
	fund := f.Funds().Ensure(s.Service()).ExtraRef()
	var v lagoon.HedgeView
	v.SetElapsed(now - s.Sent())
	v.SetTypical(After(f, c.Route()))
	v.SetLeft(c.Deadline() - now)
	v.SetTokens(fund.Left())
	v.SetTries(sh.Tries())
	hedge, wait := f.Hedger().Hedge(v)
	if !hedge {
		if wait > 0 {
			f.WakeAt(now+wait, due.Leg, id)
		}
		return
	}
	if !fund.Take() {
		return
	}
	sh.SetWants(true)
	sh.SetCause("hedge")
	sh.SetQueued(now)
	f.Want(s.Shard())
	ask := c.Ask()
	f.Note("attempt_hedged", s.Service(), ask.ID(), fmt.Sprintf("attempt at %s runs for %s, nearly all end within %s; %.1f extra attempts left", s.Host(), now-s.Sent(), v.Typical(), fund.Left()))
}

// After returns the time after which an attempt on a route is hedged.
func After(f *flow.Flow, r *lagoon.Route) time.Duration {
	rate := f.Rates().Ensure(r.Name())
	delays := rate.DelaysRef()
	if !delays.Known() {
		return r.Objective() / firstDivisor
	}
	quantile := 100 - budgetShare*100*f.ExtraRatio()
	return min(delays.Quantile(quantile), capMedians*delays.Quantile(50))
}
