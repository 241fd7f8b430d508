package ctrl_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
)

// Guards against a heartbeat of an earlier run of its sender, and against the echo of a heartbeat
// that an earlier run of this node sent: the lease would count contacts that there were not.
func TestHeartbeatOfEarlierRunIsIgnored(t *testing.T) {
	const ahead = time.Hour // of the clock of the earlier run
	cases := map[string]struct {
		senderRunsAgo, echoRunsAgo uint64
		echoed, stopping           bool
	}{
		"this run of both":             {0, 0, true, true},
		"an earlier run of the sender": {1, 0, false, false},
		"an earlier run of this node":  {0, 1, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(3, 3)
			cl.runFor(10 * time.Second)
			w, from := cl.nodes[0].w, cl.nodes[1].w.Self()
			echo := w.Clock().Now() + ahead
			from.SetStartID(from.StartID() - c.senderRunsAgo)
			m := &lagoon.Heartbeat{}
			m.SetFrom(from)
			m.SetEcho(echo)
			m.SetEchoStartID(w.Self().StartID() - c.echoRunsAgo)
			m.SetStopping(true)
			w.Tick([]any{m})
			row, ok := w.Nodes().Find(from.Name())
			if !ok {
				t.Fatal("the sender is not known")
			}
			if got := row.EchoedSentAt() == echo; got != c.echoed {
				t.Errorf("the echo counts: got %t, want %t", got, c.echoed)
			}
			if got := row.Stopping(); got != c.stopping {
				t.Errorf("the sender is stopping: got %t, want %t", got, c.stopping)
			}
		})
	}
}
