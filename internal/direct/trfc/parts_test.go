package trfc_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// stampedReply is a reply that consists of its stamp.
type stampedReply string

func (r stampedReply) Stamp() string { return string(r) }

// newStampedSim returns a simulation of services whose servers each give a stamp of their own.
func newStampedSim(t *testing.T, services int) (*sim, []string) {
	s := newSim(t, 1)
	names := s.addShards(services, 20*time.Millisecond)
	for id, srv := range s.servers {
		srv.reply = stampedReply(id)
	}
	return s, names
}

// setServers applies a change to the three servers of a service.
func (s *sim) setServers(service string, change func(*server)) {
	for _, zone := range []string{"a", "b", "c"} {
		change(s.servers[service+zone])
	}
}

// Guards against one stamp in two parts of a response, which makes the whole response wrong:
// neither part is included, and both count as missing.
func TestStampOfTwoShardsCountsForNeither(t *testing.T) {
	for _, c := range []struct {
		name        string
		shards      int // that respond with the same stamp
		minCoverage float64
		want        lagoon.RequestOutcome
	}{
		{"two shards", 2, 0.5, lagoon.RequestGathered},
		{"three shards", 3, 0.5, lagoon.RequestGathered},
		{"coverage too low without them", 2, 0.9, lagoon.RequestLost},
		{"all shards", 10, 0.1, lagoon.RequestLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, names := newStampedSim(t, 10)
			for _, name := range names[:c.shards] {
				s.setServers(name, func(srv *server) { srv.reply = stampedReply("same") })
			}
			route := gatherRoute(names)
			route.SetMinCoverage(c.minCoverage)
			s.publish(route)
			q := s.submit()
			s.runUntil(s.now + 3*time.Second)
			if got := q.response.Outcome(); got != c.want {
				t.Errorf("outcome: got %s, want %s", got, c.want)
			}
			if c.want != lagoon.RequestGathered {
				return
			}
			if slices.Contains(q.response.Parts(), any(stampedReply("same"))) {
				t.Errorf("parts: got %v, want none with the stamp of two shards", q.response.Parts())
			}
			if got, want := fmt.Sprint(len(q.response.Parts()), q.response.MissingShards()), fmt.Sprint(10-c.shards, c.shards); got != want {
				t.Errorf("parts and missing shards: got %s, want %s", got, want)
			}
		})
	}
}

// Guards against a response whose head has no single stamp and that is passed on, or counts
// as a part: it is lost, and the request is sent to another server.
func TestResponseWithoutOwnStampIsLost(t *testing.T) {
	for _, failRate := range []float64{0, 1} {
		s, names := newStampedSim(t, 1)
		s.servers[names[0]+"a"].reply, s.servers[names[0]+"a"].failRate = stampedReply(""), failRate
		s.publish(singleRoute(true))
		q := s.submit()
		s.runUntil(s.now + 3*time.Second)
		if got, want := q.response.Outcome(), lagoon.RequestServed; got != want || q.response.Reply() == any(stampedReply("")) {
			t.Errorf("share of failures %g: got outcome %s with stamp %q, want %s with one", failRate, got, q.response.Reply(), want)
		}
	}
}

// Guards against a failure of a server that counts as a part because it has a stamp.
func TestFailureIsNoPart(t *testing.T) {
	s, names := newStampedSim(t, 10)
	s.setServers(names[4], func(srv *server) { srv.failRate = 1 })
	s.publish(gatherRoute(names))
	q := s.submit()
	s.runUntil(s.now + 3*time.Second)
	for _, part := range q.response.Parts() {
		if stamp := part.(stampedReply); stamp[:len(names[4])] == stampedReply(names[4]) {
			t.Errorf("parts: got %v, want none of %s", q.response.Parts(), names[4])
		}
	}
	if got, want := fmt.Sprint(q.response.Outcome(), len(q.response.Parts()), q.response.MissingShards()), fmt.Sprint(lagoon.RequestGathered, 9, 1); got != want {
		t.Errorf("outcome, parts and missing shards: got %s, want %s", got, want)
	}
}
