// Package mbox provides a bounded multi-producer, single-consumer mailbox. I/O
// goroutines post messages to the goroutine that owns a set of tables.
//
// # Usage
//
//	box := mbox.New(1024)
//	if !box.TryPost(m) { refuse() }
//	err := box.Post(ctx, m)              // blocks while the mailbox is full
//	items := box.Wait(ctx, wait, items)  // blocks until a message or the timeout
package mbox

import (
	"context"
	"time"
)

// Mailbox is a bounded queue of messages. Create it with New.
type Mailbox struct {
	items chan any
}

// New returns a mailbox that holds up to size messages.
func New(size int) *Mailbox { return &Mailbox{items: make(chan any, size)} }

// TryPost adds a message without blocking. It returns false if the mailbox is
// full.
func (b *Mailbox) TryPost(m any) bool {
	select {
	case b.items <- m:
		return true
	default:
		return false
	}
}

// Post adds a message. It blocks while the mailbox is full and returns the error
// of ctx if that ends first.
func (b *Mailbox) Post(ctx context.Context, m any) error {
	select {
	case b.items <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maxBatch is the maximum number of messages that one Wait returns.
const maxBatch = 256

// Wait blocks until a message arrives, the wait has elapsed or ctx is done. It
// appends the pending messages to items until items holds maxBatch. With a wait
// of 0 it does not block.
func (b *Mailbox) Wait(ctx context.Context, wait time.Duration, items []any) []any {
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case m := <-b.items:
			items = append(items, m)
		case <-timer.C:
		case <-ctx.Done():
			return items
		}
	}
	for len(items) < maxBatch {
		select {
		case m := <-b.items:
			items = append(items, m)
		default:
			return items
		}
	}
	return items
}
