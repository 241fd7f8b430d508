// Package standins_test builds a program that runs the script cases of the second review. Each
// case starts nodes of the program as separate processes between stand-ins of the platform's
// store, servers and callers.
//
// # Usage
//
//	go test -c -o standins-2 . && standins-2 CASE BINARY FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package standins_test

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say records a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// bench is what a case uses.
type bench struct {
	record  *record
	store   *store
	binary  string
	folder  string // for settings and logs
	trouble bool
	nodes   []*node
}

// stop ends the processes.
func (b *bench) stop() {
	for _, n := range b.nodes {
		n.kill()
	}
}

var cases = map[string]func(b *bench) int{"quota": quota, "cold": cold, "crowd": crowd, "drain": drain, "lapse": lapse}

// TestMain runs the case that the arguments name, and no test. The wire's names may stand in test
// files alone.
func TestMain(_ *testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE BINARY FOLDER")
		os.Exit(exitCannotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	b := &bench{record: &record{out: bufio.NewWriter(file), start: time.Now()}, store: newStore(), binary: os.Args[2], folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		b.stop()
		os.Exit(exitCannotRun)
	}()
	result := cases[os.Args[1]](b)
	b.stop()
	_ = b.record.out.Flush()
	_ = file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("logs in", folder)
	}
	os.Exit(result)
}
