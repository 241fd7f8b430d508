package ingest

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/state"
	"github.com/lagoontrail/lagoon/pkg/epoch"
)

// applyRollouts applies an update of the orders to roll out versions. An order that is missing
// from a full list, or removed, keeps its effect for a time.
func applyRollouts(s *state.State, update lagoon.RegistryUpdate, now time.Duration) {
	listed := map[string]bool{}
	for _, order := range update.Rollouts() {
		listed[order.Service()] = true
		row := s.Orders().Ensure(order.Service())
		before := row.Order()
		if unsettled(s, now) && row.Keep(order) {
			s.Record("rollout", order.Service(), fmt.Sprintf("the registry was restored without its outcome, which stays %s: target %s, %s", before.State(), order.TargetVersion(), epoch.Text(order.Revision())))
			continue
		}
		if change := row.Apply(order, now); change != "" {
			s.Record("rollout", order.Service(), fmt.Sprintf("%s: target %s within %s, %s; before: target %q, %s", change, order.TargetVersion(), order.Duration(), epoch.Text(order.Revision()), before.TargetVersion(), before.State()))
		}
	}
	removed := update.Removed()
	if update.Full() && !unsettled(s, now) { // operators write lost orders again
		for i := range s.Orders().Len() {
			if service := s.Orders().Key(i); !listed[service] {
				removed = append(removed, service)
			}
		}
	}
	for _, service := range removed {
		row, ok := s.Orders().Find(service)
		if !ok || row.WithdrawnUntil() > 0 {
			continue
		}
		order := row.Order()
		row.Withdraw(now)
		after := row.Order()
		s.Record("rollout", service, fmt.Sprintf("withdrawn: target %s, %s; acts as %s for another %s", order.TargetVersion(), order.State(), after.State(), row.WithdrawnUntil()-now))
	}
	s.SetViewStale(true)
}
