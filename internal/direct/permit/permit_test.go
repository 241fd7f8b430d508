package permit_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/permit"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// fixedClock is a clock that stands still.
type fixedClock time.Duration

func (c fixedClock) Now() time.Duration { return time.Duration(c) }
func (fixedClock) Wall() time.Time      { return time.Time{} }

// TestMaySend guards against attempts that a process without processor time sends seconds after
// it chose the server: the server may have left, its zone may have been taken out, and the news
// may still wait for control.
func TestMaySend(t *testing.T) {
	const now = 20 * time.Second
	tests := []struct {
		name        string
		controlTick time.Duration
		usable      bool
		usableUntil time.Duration
		sendBefore  time.Duration
		want        bool
	}{
		{name: "usable server", controlTick: now - 100*time.Millisecond, usable: true, want: true},
		{name: "server that left the view", controlTick: now, want: false},
		{name: "leaving server within its grace period", controlTick: now, usable: true, usableUntil: now + time.Millisecond, want: true},
		{name: "leaving server after its grace period", controlTick: now, usable: true, usableUntil: now, want: false},
		{name: "control held back", controlTick: now - 1100*time.Millisecond, usable: true, want: false},
		{name: "attempt within its time", controlTick: now, usable: true, sendBefore: now + time.Millisecond, want: true},
		{name: "attempt after its time", controlTick: now, usable: true, sendBefore: now, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &view.View{}
			v.SetServerIDs(map[string]bool{"i-1": tt.usable})
			v.SetUsableUntil(map[string]time.Duration{"i-1": tt.usableUntil})
			var published atomic.Pointer[view.View]
			published.Store(v)
			var tick atomic.Int64
			tick.Store(int64(tt.controlTick))
			var replica lagoon.Replica
			replica.SetID("i-1")
			var a lagoon.Attempt
			a.SetReplica(replica)
			a.SetSendBefore(tt.sendBefore)
			err := permit.New(fixedClock(now), &published, &tick).MaySend(a)
			if got := err == nil; got != tt.want {
				t.Errorf("MaySend() = %v; want allowed %t", err, tt.want)
			}
		})
	}
}
