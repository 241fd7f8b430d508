package permit_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/permit"
	"github.com/lagoontrail/lagoon/internal/direct/terms"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// Guards against an attempt that was chosen while a version could be used and is written after
// its lease has ended.
func TestMaySendToVersion(t *testing.T) {
	const now = 20 * time.Second
	tests := []struct {
		name, version                  string
		targetUntil, oldFrom, oldUntil time.Duration
		shift                          bool
		want                           bool
	}{
		{name: "target within its lease", version: "v2", targetUntil: now + 1, want: true},
		{name: "target after its lease", version: "v2", targetUntil: now, want: false},
		{name: "old version", version: "v1", targetUntil: now + 1, want: true},
		{name: "old version in the shift", version: "v1", targetUntil: now + 1, shift: true, want: false},
		{name: "old version after the lease of the shift", version: "v1", targetUntil: now, shift: true, want: true},
		{name: "old version after a commitment", version: "v1", targetUntil: now, shift: true, oldFrom: now + 1, want: false},
		{name: "old version after its lease", version: "v1", targetUntil: now, oldUntil: now, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			offered := &terms.Terms{}
			offered.SetTarget("v2")
			offered.SetShare(0.1)
			offered.SetShift(tt.shift)
			offered.SetTargetUntil(tt.targetUntil)
			offered.SetOldFrom(tt.oldFrom)
			offered.SetOldUntil(tt.oldUntil)
			v := &view.View{}
			v.SetServerIDs(map[string]bool{"i-1": true})
			v.SetVersionTerms(map[string]*terms.Terms{"desk": offered})
			var published atomic.Pointer[view.View]
			published.Store(v)
			var tick atomic.Int64
			tick.Store(int64(now))
			var replica lagoon.Replica
			replica.SetID("i-1")
			replica.SetService("desk")
			replica.SetVersion(tt.version)
			var a lagoon.Attempt
			a.SetReplica(replica)
			err := permit.New(fixedClock(now), &published, &tick).MaySend(a)
			if got := err == nil; got != tt.want {
				t.Errorf("MaySend() = %v; want allowed %t", err, tt.want)
			}
		})
	}
}
