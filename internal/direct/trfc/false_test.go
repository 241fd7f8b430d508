// Without the race detector: everything here runs on one goroutine in virtual time, and takes
// minutes with it. CI runs this package without it as well.
//go:build !race

package trfc_test

import (
	"testing"
	"time"
)

// setPace changes how the speed of the servers in a zone changes.
func (b *bed) setPace(zone string, set func(p *pace)) {
	for id, srv := range b.nodes[0].servers {
		if id[len(id)-1:] == zone {
			set(srv.pace)
		}
	}
}

// Guards against servers that report falsely: those of one zone are four times slower and report
// the usual speed, or report four times as slow and are not. Their measured times correct them, so
// the completion times are close to those with servers as fast that report truly.
func TestFalseReportsAreCorrected(t *testing.T) {
	for name, c := range map[string]struct{ real, claimed float64 }{
		"slow and reports the usual speed": {4, 1},
		"usual speed and reports slow":     {1, 4},
	} {
		t.Run(name, func(t *testing.T) {
			sums := map[string][2]time.Duration{}
			for seed := range uint64(3) {
				honest, lying := newModelBed(t, seed, 4), newModelBed(t, seed, 4)
				for _, b := range []*bed{honest, lying} {
					b.setPace("a", func(p *pace) { p.slowShare, p.slowFactor = 1, c.real })
				}
				lying.setPace("a", func(p *pace) { p.claimed = c.claimed })
				honest.run(seed, bedLength)
				lying.run(seed, bedLength)
				for _, k := range kinds {
					a, b := honest.figuresOf(k), lying.figuresOf(k)
					t.Logf("%s: true reports  %s", k.name, a)
					t.Logf("%s: false reports %s", k.name, b)
					sums[k.name] = [2]time.Duration{sums[k.name][0] + a.mean, sums[k.name][1] + b.mean}
				}
			}
			for kind, sum := range sums {
				ratio := float64(sum[1]) / float64(sum[0])
				t.Logf("%s: mean relative to true reports %.3f", kind, ratio)
				if limit := 1.15; ratio > limit {
					t.Errorf("%s: got a mean of %.3f times that with true reports, want at most %.2f", kind, ratio, limit)
				}
			}
		})
	}
}
