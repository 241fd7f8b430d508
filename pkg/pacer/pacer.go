// Package pacer spaces requests to keep a rate, with tokens that expire when they are not used.
//
// # Usage
//
//	var p pacer.Pacer
//	p.Start(now + offset)
//	if at := p.Next(now, interval, valid); at <= now {
//		p.Take(now, interval, valid)
//	}
//
// One token appears per interval. Each may be used for a limited time, so that many pacers that
// share a rate and were idle do not use one token each at the same moment. The caller supplies
// the time, and the interval may change from call to call.
package pacer

import (
	"math"
	"time"
)

// Pacer spaces requests. The zero value has a token at time 0.
type Pacer struct {
	next     time.Duration // when the next token appears, if none has expired since
	interval time.Duration // the interval of the last call; 0 before the first one
}

// Start makes the next token appear at a time.
func (p *Pacer) Start(at time.Duration) { *p = Pacer{next: at} }

// Next returns when the next request may be sent, which is now if there is a token. A token may
// be used for valid, and the next one appears interval, which is positive, after it.
func (p *Pacer) Next(now, interval, valid time.Duration) time.Duration {
	p.adapt(now, interval)
	return max(p.oldest(now, valid), now)
}

// Take uses the oldest token. The caller has checked with Next that there is one.
func (p *Pacer) Take(now, interval, valid time.Duration) {
	p.adapt(now, interval)
	p.next = p.oldest(now, valid) + p.interval
}

// adapt changes the interval. The time until a token that has not appeared yet changes alike.
func (p *Pacer) adapt(now, interval time.Duration) {
	if p.interval > 0 && p.interval != interval && p.next > now {
		p.next = now + time.Duration(float64(p.next-now)*float64(interval)/float64(p.interval))
	}
	p.interval = interval
}

// oldest returns when the first token that has not expired appears or appeared.
func (p *Pacer) oldest(now, valid time.Duration) time.Duration {
	if p.next >= now-valid {
		return p.next
	}
	expired := math.Ceil(float64(now-valid-p.next) / float64(p.interval))
	return p.next + time.Duration(expired)*p.interval
}
