package pacer_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon/pkg/pacer"
)

const valid = 500 * time.Millisecond

// taken returns how many requests a pacer allows from one time to another, asked every millisecond.
func taken(p *pacer.Pacer, from, to, interval time.Duration) int {
	n := 0
	for now := from; now < to; now += time.Millisecond {
		for p.Next(now, interval, valid) <= now {
			p.Take(now, interval, valid)
			n++
		}
	}
	return n
}

// Guards against a rate that is exceeded or not reached.
func TestRateIsKept(t *testing.T) {
	for _, interval := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second} {
		var p pacer.Pacer
		p.Start(0)
		want := int(30 * time.Second / interval)
		if got := taken(&p, 0, 30*time.Second, interval); got < want-1 || got > want+1 {
			t.Errorf("requests in 30 s, one per %s: got %d, want %d", interval, got, want)
		}
	}
}

// Guards against tokens that are saved up by pacers that were idle or stood still.
func TestTokensExpire(t *testing.T) {
	const idle = 60 * time.Second
	for _, interval := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond} {
		var p pacer.Pacer
		p.Start(0)
		want := int(valid/interval) + 1
		if got := taken(&p, idle, idle+time.Millisecond, interval); got > want {
			t.Errorf("requests at once after a pause, one per %s: got %d, want at most %d", interval, got, want)
		}
	}
	// Of many pacers with long intervals, few have a token at the same time.
	const nodes, interval = 100, 10 * time.Second
	got := 0
	for i := range nodes {
		var p pacer.Pacer
		p.Start(interval * time.Duration(i) / nodes)
		got += taken(&p, idle, idle+time.Millisecond, interval)
	}
	if want := int(nodes*valid/interval) + 1; got > want {
		t.Errorf("requests at once of %d idle nodes: got %d, want at most %d", nodes, got, want)
	}
}

// A shorter or longer interval takes effect before the token that is due next.
func TestIntervalChanges(t *testing.T) {
	var p pacer.Pacer
	p.Start(0)
	p.Next(0, 10*time.Second, valid)
	p.Take(0, 10*time.Second, valid)
	if got, want := p.Next(time.Second, 10*time.Second, valid), 10*time.Second; got != want {
		t.Errorf("next request: got %s, want %s", got, want)
	}
	if got, want := p.Next(time.Second, time.Second, valid), 1900*time.Millisecond; got != want {
		t.Errorf("next request at ten times the rate: got %s, want %s", got, want)
	}
}
