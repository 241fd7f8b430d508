// Package mbox provides the bounded mailbox through which goroutines that do
// input and output hand work to the one goroutine that owns a set of tables.
//
// # Usage
//
//	box := mbox.New(1024)
//	if !box.TryPost(m) { refuse() }
//	err := box.Post(ctx, m)              // waits for room
//	items := box.Wait(ctx, due, items)   // sleeps until a message or the due time
package mbox

import (
	"context"
	"time"
)

// Box is a bounded mailbox. Make it with New.
type Box struct {
	items chan any
}

// New returns a mailbox with room for a number of messages.
func New(size int) *Box { return &Box{items: make(chan any, size)} }

// TryPost adds a message and reports false, without waiting, when there is no
// room.
func (b *Box) TryPost(m any) bool {
	select {
	case b.items <- m:
		return true
	default:
		return false
	}
}

// Post adds a message and waits for room until ctx ends.
func (b *Box) Post(ctx context.Context, m any) error {
	select {
	case b.items <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maxBatch bounds the messages of one tick.
const maxBatch = 256

// Wait sleeps until a message arrives, the wait has passed or ctx ends. It
// appends the messages that are there, up to a batch, to items. A wait of 0
// takes only what is there.
func (b *Box) Wait(ctx context.Context, wait time.Duration, items []any) []any {
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
