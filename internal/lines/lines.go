// Package lines buffers the lines of a log and writes them out a few times a
// second, since each write is a system call.
//
// # Usage
//
//	w, flush := lines.New(os.Stdout)
//	defer flush()
//	log.SetOutput(w)
//
// A line that finds the buffer full is written at once. Lines of the last moment
// are lost when the process is killed.
package lines

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// Sizes and times of the buffer.
const (
	size  = 32 << 10               // bytes; about a hundred lines
	every = 200 * time.Millisecond // between a line and its writing, at most
)

// Writer is the buffer. Make it with New.
type Writer struct {
	mu    sync.Mutex
	out   *bufio.Writer
	armed bool
	err   error
}

// New returns a buffer before out. The clean-up function writes what is left.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: bufio.NewWriterSize(out, size)}
	return w, w.flush
}

// Write adds one line. It returns the error of an earlier writing, if any.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		err := w.err
		w.err = nil
		return 0, err
	}
	if !w.armed {
		w.armed = true
		time.AfterFunc(every, w.flush)
	}
	return w.out.Write(line)
}

func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.err = w.out.Flush()
}
