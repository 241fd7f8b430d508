// Package permit decides, right before the bytes of an attempt are written, whether they may
// still be sent.
//
// # Usage
//
//	p := permit.New(clock, &publishedView, &controlTickedAt)
//	transport.SetPermission(p)
//
// An attempt is started in a tick of the traffic loop and is written later, on its own
// goroutine and often on a connection that had to be opened first. A process without processor
// time may stand still for seconds in between, or in the middle of the tick. So the latest view
// and the clock are read once more: a server that has left, or whose availability zone was taken
// out, gets nothing, and neither does any server while control has not run for
// MaxControlSilence, because the news may be waiting for it.
package permit

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// MaxControlSilence is the time since the last tick of control after which its view vouches for
// nothing. Control ticks at least every 100 ms, and a server that leaves serves for 3 s.
const MaxControlSilence = time.Second

// Permit implements lagoon.Permission. Create it with New.
type Permit struct {
	clock         lagoon.Clock
	publishedView *atomic.Pointer[view.View]
	controlTick   *atomic.Int64
}

// New returns a permission that reads the view published by control, and the time of control's
// last tick in nanoseconds of the clock. 0 means that control has not run yet.
func New(clock lagoon.Clock, publishedView *atomic.Pointer[view.View], controlTick *atomic.Int64) *Permit {
	return &Permit{clock: clock, publishedView: publishedView, controlTick: controlTick}
}

// MaySend returns an error that tells why an attempt must not be sent any more, or nil.
func (p *Permit) MaySend(a lagoon.Attempt) error {
	now, v, replica := p.clock.Now(), p.publishedView.Load(), a.Replica()
	if silence := now - time.Duration(p.controlTick.Load()); silence > MaxControlSilence {
		return errors.Errorf("control has not run for %s", silence.Round(time.Millisecond))
	}
	if a.SendBefore() > 0 && now >= a.SendBefore() {
		return errors.Errorf("the attempt had to be sent %s earlier", (now - a.SendBefore()).Round(time.Millisecond))
	}
	if !v.ServerIDs()[replica.ID()] {
		return errors.New("the server is not usable any more")
	}
	if until := v.UsableUntilOf(replica.ID()); until > 0 && now >= until {
		return errors.Errorf("the server is leaving and was usable until %s earlier", (now - until).Round(time.Millisecond))
	}
	if t := v.TermsOf(replica.Service()); t != nil && !t.MayUse(replica.Version(), now) {
		return errors.Errorf("version %q may not be used: target %q until %s, others from %s until %s, now %s", replica.Version(), t.Target(), t.TargetUntil(), t.OldFrom(), t.OldUntil(), now)
	}
	return nil
}
