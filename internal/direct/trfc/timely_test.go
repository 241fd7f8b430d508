package trfc_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// Guards against further attempts of a request that cannot be answered in time: their servers
// run them, and their answers are lost. In this load, one server fails a quarter of the
// requests, also some that other requests wait for, and callers have the time of a few
// attempts.
func TestNoFurtherAttemptThatIsTooLate(t *testing.T) {
	const meanTime = 20 * time.Millisecond
	const shortest = meanTime * 7 / 10 // of a modeled server
	late, further, served, failed := 0, 0, 0, 0
	for seed := range uint64(5) {
		s := newSim(t, 60+seed)
		names := s.addShards(1, meanTime)
		s.setServers(names[0], func(srv *server) { srv.failRate = 0.25 })
		route := singleRoute(true)
		route.SetTimeout(90 * time.Millisecond)
		route.SetObjective(60 * time.Millisecond)
		route.SetMaxAttempts(1)
		s.publish(route)
		s.runLoad(40, 20*time.Second)
		seen := map[string]bool{}
		for _, a := range s.attempts {
			if !seen[a.ID()] {
				seen[a.ID()] = true
				continue
			}
			further++
			if a.Timeout() < shortest {
				late++
			}
		}
		for _, q := range s.completed {
			switch q.response.Outcome() {
			case lagoon.RequestServed:
				served++
			case lagoon.RequestFailed:
				failed++
			}
		}
	}
	t.Logf("further attempts: %d; served: %d, failed with a server's answer: %d", further, served, failed)
	if late > 0 {
		t.Errorf("further attempts with less than %s left: got %d of %d, want 0", shortest, late, further)
	}
}
