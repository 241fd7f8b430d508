package cases

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt. Important lines also go to standard output.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// eventf records one event.
func (r *recorder) eventf(format string, args ...any) {
	r.write(fmt.Sprintf(format, args...), false)
}

// logf records one event and prints it.
func (r *recorder) logf(format string, args ...any) {
	r.write(fmt.Sprintf(format, args...), true)
}

func (r *recorder) write(text string, echo bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.4f %s\n", time.Since(r.start).Seconds(), text)
	_, _ = r.out.WriteString(line)
	if echo {
		fmt.Print(line)
	}
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
