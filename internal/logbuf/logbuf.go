// Package logbuf buffers log lines and writes them a few times a second, to save a system
// call per line. A reader of the log that stalls blocks no goroutine that logs.
//
// # Usage
//
//	w, stop := logbuf.New(os.Stdout)
//	defer stop()
//	log.SetOutput(w)
//
// A large buffer is written immediately. Lines that do not fit into the buffer while the
// output blocks are dropped and counted. Lines that are still buffered are lost if the
// process is killed.
package logbuf

import (
	"io"
	"sync"
	"time"
)

// Sizes of the buffer, and times.
const (
	flushBytes    = 32 << 10               // at which the buffer is written immediately; about 100 lines
	maxBytes      = 1 << 20                // above which lines are dropped
	flushInterval = 200 * time.Millisecond // the longest time that a line stays in the buffer
	stopTimeout   = time.Second            // for the output to take the remaining lines
)

// Writer is a buffered log writer. Create one with New.
type Writer struct {
	out io.Writer

	mu        sync.Mutex
	buffer    []byte
	spare     []byte        // the buffer that was written last, to be used again
	scheduled bool          // whether a write of the buffer is scheduled
	writing   bool          // whether out is being written to
	written   chan struct{} // closed and replaced after each write to out
	dropped   uint64
	err       error // of the last write to out
}

// New returns a Writer that writes to out. The cleanup function writes the remaining lines,
// unless out blocks.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, written: make(chan struct{})}
	return w, w.stop
}

// Dropped returns the number of lines that were dropped because the output blocked.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Write buffers one line. It does not block, and returns the error of the last write to the
// output, if any.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.err; err != nil {
		w.err = nil
		return 0, err
	}
	if len(w.buffer)+len(line) > maxBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	switch {
	case w.writing: // the rest is written afterwards
	case len(w.buffer) >= flushBytes:
		w.writing = true
		go w.writeAll()
	case !w.scheduled:
		w.scheduled = true
		time.AfterFunc(flushInterval, w.flush)
	}
	return len(line), nil
}

// flush writes the buffer unless it is being written.
func (w *Writer) flush() {
	w.mu.Lock()
	w.scheduled = false
	if w.writing || len(w.buffer) == 0 {
		w.mu.Unlock()
		return
	}
	w.writing = true
	w.mu.Unlock()
	w.writeAll()
}

// writeAll writes until the buffer is empty. Only one goroutine does so at a time.
func (w *Writer) writeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.buffer) > 0 {
		data := w.buffer
		w.buffer = w.spare[:0]
		w.mu.Unlock()
		_, err := w.out.Write(data)
		w.mu.Lock()
		w.err = err
		w.spare = data
		if cap(data) > 2*flushBytes {
			w.spare = nil // the output had blocked
		}
	}
	w.writing = false
	close(w.written)
	w.written = make(chan struct{})
}

// stop writes the remaining lines, for at most stopTimeout.
func (w *Writer) stop() {
	go w.flush()
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	for {
		w.mu.Lock()
		done, written := !w.writing && len(w.buffer) == 0, w.written
		w.mu.Unlock()
		if done {
			return
		}
		select {
		case <-written:
		case <-timeout.C:
			return
		}
	}
}
