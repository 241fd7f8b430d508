package shed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/levels"
	"github.com/lagoontrail/lagoon/pkg/shed"
)

// BenchmarkAdmission measures the cost of one decision under overload: the demand of the
// organisation, its share, the policy, and once in 50 requests the division of the limit, which
// corresponds to 1,000 requests a second at a node.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{83, 10000} {
		b.Run(fmt.Sprint(n, " organisations"), func(b *testing.B) {
			var row levels.Row
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("org", i)
				row.SharesRef().Add(names[i], i%3, 0, time.Duration(1+10000/(i+1))*time.Microsecond, false)
			}
			row.SetLimit(0.7 * row.SharesRef().Total())
			now, i := time.Duration(0), 0
			var policy shed.Policy
			b.ReportAllocs()
			for b.Loop() {
				if i++; i%50 == 0 {
					now += 50 * time.Millisecond
					row.Decay(now, 50*time.Millisecond)
					row.SetLimit(0.7 * row.SharesRef().Total())
					row.Divide()
				}
				name := names[i*7919%n]
				row.SharesRef().Add(name, i%3, now, time.Millisecond, false)
				var v lagoon.AdmissionView
				demand, share := row.SharesRef().Allot(name, i%3, false, row.LevelInForce())
				v.SetDemand(demand)
				v.SetFairShare(share)
				v.SetRankFloor(row.FloorOf(i % 3))
				v.SetTimeLeft(time.Second)
				v.SetJitter(0.5)
				if ok, _ := policy.Admit(v); ok {
					row.CountAdmitted(i%3, time.Millisecond)
				}
			}
		})
	}
}
