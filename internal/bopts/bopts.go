// Package bopts holds the options of a bench run.
//
// # Usage
//
//	var o bopts.Options
//	o.SetScenario("steady")
//	report, err := bench.Run(ctx, o)
//
// The zero value of each option takes the scenario's own.
package bopts

import (
	"io"

	"github.com/sirupsen/logrus"
)

//go:generate go run ../accgen -dir .

// Options choose what to run.
type Options struct {
	scenario   string         // the scenario's name
	deployment string         // the deployment's name
	policy     string         // "now", "first", "baseline", "timer" or "escalating"
	seed       uint64         // the seed of the load
	nodes      int            // the number of nodes
	seconds    int            // the length of the load, in seconds
	log        *logrus.Logger // where decisions are logged; nil logs none
	story      io.Writer      // where the tour tells what happens; nil tells nothing
}
