package window_test

import (
	"testing"
	"time"

	"github.com/lagoontrail/lagoon/pkg/window"
)

// The shortest duration is that of the window, within the error of the histogram.
func TestMin(t *testing.T) {
	var w window.Window
	if got, want := w.Min(), time.Duration(0); got != want {
		t.Errorf("empty window: got %s, want %s", got, want)
	}
	now := time.Second
	record := func(d time.Duration, count int) {
		for range count {
			w.Record(d, now)
		}
	}
	record(30*time.Millisecond, 20)
	record(10*time.Millisecond, 1)
	record(30*time.Millisecond, 20)
	if got, want := w.Min(), 10*time.Millisecond; got > want || got < want*99/100 {
		t.Errorf("got %s, want %s less 1%% at most", got, want)
	}
	for range 8 {
		now += time.Second
		record(30*time.Millisecond, 20)
	}
	if got, want := w.Min(), 30*time.Millisecond; got > want || got < want*99/100 {
		t.Errorf("8 s later: got %s, want %s less 1%% at most", got, want)
	}
}
