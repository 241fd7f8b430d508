// Package cases holds the stand-ins and checks of the review's scripts. Each script runs
// the test binary with CASE set to the name of one case.
package cases

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a script that does not end by itself.
const maxRunTime = 110 * time.Second

// cases are the functions that run each case and return the exit code.
var cases = map[string]func(*env) int{}

// env is the environment of one case.
type env struct {
	root    string // the repository's root
	dir     string // a temporary folder
	trouble bool   // whether the disruption is injected
	rec     *recorder
	nodes   []*node
}

// TestMain runs the case that the environment names.
func TestMain(*testing.M) {
	run, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Println("CASE names no case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run))
}

func runCase(run func(*env) int) int {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	rec, err := newRecorder(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	e := &env{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	rec.logf("start, trouble %t", e.trouble)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				rec.logf("the case could not run: %v", r)
				result <- exitNotRun
			}
		}()
		result <- run(e)
	}()
	code := exitNotRun
	select {
	case code = <-result:
	case <-time.After(maxRunTime):
		rec.logf("the case did not end in time")
	}
	e.stopNodes()
	rec.logf("exit code %d", code)
	return code
}

// must ends the case if it could not be set up.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
