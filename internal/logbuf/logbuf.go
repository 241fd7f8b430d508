// Package logbuf buffers log lines and flushes them a few times a second, to save
// a system call per line.
//
// # Usage
//
//	w, flush := logbuf.New(os.Stdout)
//	defer flush()
//	log.SetOutput(w)
//
// A full buffer is flushed immediately. Lines that are still buffered are lost if the
// process is killed.
package logbuf

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// Size of the buffer, and the longest time that a line stays in it.
const (
	bufferBytes   = 32 << 10 // about 100 lines
	flushInterval = 200 * time.Millisecond
)

// Writer is a buffered log writer. Create one with New.
type Writer struct {
	mu             sync.Mutex
	out            *bufio.Writer
	flushScheduled bool
	flushErr       error
}

// New returns a Writer that flushes to out. The cleanup function flushes the remaining lines.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: bufio.NewWriterSize(out, bufferBytes)}
	return w, w.flush
}

// Write buffers one line. It returns the error of an earlier flush, if any.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.flushErr != nil {
		err := w.flushErr
		w.flushErr = nil
		return 0, err
	}
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(flushInterval, w.flush)
	}
	return w.out.Write(line)
}

func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flushScheduled = false
	w.flushErr = w.out.Flush()
}
