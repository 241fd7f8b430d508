package ctrl_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// askHub asks the first hub in the name of a node that is no hub, and returns the answer.
func (f *fleet) askHub(wanted int, rate, burst float64) (answer lagoon.QuotaGrant) {
	f.t.Helper()
	var from *node
	for _, n := range f.nodes {
		if !n.control.Hub() && !n.down {
			from = n
		}
	}
	if from.control.Ledger().Granter() == "" {
		f.t.Fatal("the node has no granter")
	}
	from.control.SetDeliverGrant(func(m any) bool {
		answer = *m.(*lagoon.QuotaGrant)
		return true
	})
	var want lagoon.QuotaWant
	want.SetOrganisation("wire")
	want.SetTokens(wanted)
	want.SetRatePerSecond(rate)
	want.SetBurst(burst)
	m := &lagoon.QuotaRequest{}
	m.SetFrom(from.self.Name())
	m.SetSent(f.now)
	m.SetWants([]lagoon.QuotaWant{want})
	from.mailbox = append(from.mailbox, m)
	f.run(3 * tickStep)
	if len(answer.Shares()) != 1 {
		f.t.Fatalf("got %d shares, want one", len(answer.Shares()))
	}
	return answer
}

// checkGranted checks the number of granted tokens, and that the caller learns when to return.
func checkGranted(t *testing.T, when string, answer lagoon.QuotaGrant, least, most int) {
	t.Helper()
	got := answer.Shares()[0]
	if got.Tokens() < least || got.Tokens() > most {
		t.Errorf("%s: got %d tokens, want %d to %d", when, got.Tokens(), least, most)
	}
	if got.RetryAfter() <= 0 {
		t.Errorf("%s: got no time after which there are more tokens, want one", when)
	}
}

// newQuotaFleet returns nodes that know one organisation with a quota.
func newQuotaFleet(t *testing.T, rate, burst float64) *fleet {
	f := newFleet(t, 0)
	var o lagoon.Organisation
	o.SetName("wire")
	o.SetRatePerSecond(rate)
	o.SetBurst(burst)
	f.declared.SetOrganisations([]lagoon.Organisation{o})
	f.startNodes(12)
	return f
}

// TestGrantOfIdleOrganisation guards against an organisation without a bucket that cannot send its
// burst, and against tokens that may be used for longer than half of what the overage allows.
func TestGrantOfIdleOrganisation(t *testing.T) {
	f := newQuotaFleet(t, 100, 500)
	f.run(10 * time.Second)
	answer := f.askHub(10000, 100, 500)
	checkGranted(t, "after 10 s", answer, 500, 505)
	if got, want := answer.ValidFor(), 250*time.Millisecond; got != want {
		t.Errorf("got tokens valid for %s, want %s", got, want)
	}
	f.run(time.Second)
	checkGranted(t, "1 s later", f.askHub(10000, 100, 500), 95, 110)
}

// TestNewGranterStartsNearlyEmpty guards against a burst that is spent once at each of two
// granters: after a start of all nodes, and after one stood still while others granted.
func TestNewGranterStartsNearlyEmpty(t *testing.T) {
	t.Run("start", func(t *testing.T) {
		f := newQuotaFleet(t, 100, 500)
		f.run(300 * time.Millisecond)
		checkGranted(t, "after 0.3 s", f.askHub(10000, 100, 500), 1, 60)
	})
	t.Run("pause", func(t *testing.T) {
		f := newQuotaFleet(t, 100, 500)
		f.run(10 * time.Second)
		f.askHub(1, 100, 500) // so that there is a bucket
		f.now += 1200 * time.Millisecond
		f.run(tickStep)
		checkGranted(t, "after a pause", f.askHub(10000, 100, 500), 1, 60)
	})
}

// TestLowerRateWins guards against the higher quota where only one of the granter and the node
// that asks has the newest catalog.
func TestLowerRateWins(t *testing.T) {
	for _, test := range []struct {
		name              string
		ownRate, ownBurst float64
		rate, burst       float64
	}{
		{"granter knows it", 10, 20, 100, 500},
		{"node knows it", 100, 500, 10, 20},
		{"granter knows no limit", 0, 0, 10, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newQuotaFleet(t, test.ownRate, test.ownBurst)
			f.run(10 * time.Second)
			checkGranted(t, "limit of 20", f.askHub(10000, test.rate, test.burst), 20, 25)
		})
	}
}

// TestBucketShrinksWithWeight guards against a burst that a granter keeps while nodes that it does
// not hear spend their part of it: it must not be whole again as soon as they are back.
func TestBucketShrinksWithWeight(t *testing.T) {
	for _, known := range []bool{false, true} {
		f := newQuotaFleet(t, 1, 600)
		for _, n := range f.nodes {
			n.control.SetRequestCount(&n.requestCount)
		}
		serve := func(d time.Duration) {
			for end := f.now + d; f.now < end; {
				for _, n := range f.nodes {
					n.requestCount.Add(2)
				}
				f.run(tickStep)
			}
		}
		f.run(time.Second)
		for _, n := range f.nodes { // the buckets need no 10 minutes to be full
			n.control.Ledger().SetClock(n.control.Ledger().Clock() + 1000)
		}
		serve(6 * time.Second)
		if known {
			f.askHub(1, 1, 600)
		}
		out := map[string]bool{}
		for _, n := range f.nodes {
			if !n.control.Hub() && len(out) < 4 {
				out[n.self.Name()] = true
			}
		}
		f.dropMessage = func(from, to *node) bool { return out[from.self.Name()] != out[to.self.Name()] }
		serve(3 * time.Second)
		f.dropMessage = nil
		serve(2 * time.Second)
		answer := f.askHub(10000, 1, 600)
		checkGranted(t, "after a third of the nodes was cut off", answer, 1, 440)
	}
}

// TestHubsOfEarlierReleaseAreNotAsked guards against nodes that refuse all organisations while both
// hubs run the earlier release, which knows no quotas: each node then uses its share.
func TestHubsOfEarlierReleaseAreNotAsked(t *testing.T) {
	f := newQuotaFleet(t, 100, 500)
	for _, n := range f.nodes {
		n.control.SetRequestCount(&n.requestCount)
	}
	asked := 0
	f.garble = func(m lagoon.Message) lagoon.Message {
		switch m := m.(type) {
		case *lagoon.QuotaRequest, *lagoon.QuotaGrant:
			asked++
			return nil
		case *lagoon.Heartbeat:
			if m.Hub() {
				old := *m
				old.SetGranter("")
				old.SetAssignedShare(0)
				old.SetTrafficShare(0)
				return &old
			}
		}
		return m
	}
	for range 500 {
		for _, n := range f.nodes {
			n.requestCount.Add(2)
		}
		f.run(tickStep)
	}
	checked := 0
	for _, n := range f.nodes {
		if l := n.control.Ledger(); !n.control.Hub() {
			checked++
			if l.Granter() != n.self.Name() || l.Weight() < 0.07 || l.Weight() > 0.1 {
				t.Errorf("%s: got granter %q with weight %.3f, want itself with one of 12 parts", n.self.Name(), l.Granter(), l.Weight())
			}
		}
	}
	if asked > 0 || checked == 0 {
		t.Errorf("got %d quota messages and %d nodes that are no hubs, want none and some", asked, checked)
	}
}

// TestChangeOfGranterKeepsRequestRate guards against request rates that jump because a heartbeat
// that announces another granter follows the last one after a few milliseconds.
func TestChangeOfGranterKeepsRequestRate(t *testing.T) {
	f := newQuotaFleet(t, 100, 500)
	for _, n := range f.nodes {
		n.control.SetRequestCount(&n.requestCount)
	}
	n := f.nodes[len(f.nodes)-1]
	announced := 0
	for i := range 600 {
		n.requestCount.Add(2)
		f.run(tickStep)
		if i%7 == 6 {
			sentAt := n.control.HeartbeatsSentAt()
			n.requestCount.Add(20) // a burst between two steps
			n.control.Ledger().SetAnnouncing(true)
			n.control.Tick(nil)
			announced++
			if got := n.control.HeartbeatsSentAt(); f.now-sentAt < 500*time.Millisecond && got != sentAt {
				t.Fatalf("got the next regular heartbeat due %s after an announcement, want it when it was due before", f.now-sentAt)
			}
			if n.control.Ledger().Announcing() {
				t.Fatal("got an announcement that is still due")
			}
		}
	}
	perSecond := (600*2 + float64(announced)*20) / (600 * tickStep.Seconds())
	if got := n.control.RequestRate(); got < 0.8*perSecond || got > 1.25*perSecond {
		t.Errorf("got a rate of %.0f requests per second, want about %.0f", got, perSecond)
	}
}

// TestNoQuotasWithoutOrganisations guards against weights and journal lines of quotas in a
// deployment without organisations, and against hubs that count as ones of the earlier release
// when organisations are declared.
func TestNoQuotasWithoutOrganisations(t *testing.T) {
	f := newFleet(t, 0)
	f.startNodes(12)
	f.run(10 * time.Second)
	for _, n := range f.nodes {
		l := n.control.Ledger()
		if l.Granter() == "" {
			t.Errorf("%s: got no granter, want one named", n.self.Name())
		}
		if l.Weight() > 0 || l.Share() > 0 || l.WeighedAt() > 0 || l.Announcing() {
			t.Errorf("%s: got weight %.2f, share %.2f, weighed at %s, announcing %t, want none", n.self.Name(), l.Weight(), l.Share(), l.WeighedAt(), l.Announcing())
		}
	}
	var o lagoon.Organisation
	o.SetName("wire")
	o.SetRatePerSecond(100)
	o.SetBurst(500)
	f.declared.SetOrganisations([]lagoon.Organisation{o})
	f.changeCatalog()
	f.run(10 * time.Second)
	checkGranted(t, "10 s after the declaration", f.askHub(10000, 100, 500), 450, 505)
}
