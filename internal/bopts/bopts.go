// Package bopts defines the options of a bench run.
//
// # Usage
//
//	var o bopts.Options
//	o.SetScenario("steady")
//	report, err := bench.Run(ctx, o)
//
// An option with its zero value takes the scenario's default.
package bopts

import (
	"io"

	"github.com/sirupsen/logrus"
)

//go:generate go run ../accgen -dir .

// Options selects a scenario and overrides its defaults.
type Options struct {
	scenario   string         // the scenario's name
	deployment string         // the deployment's name
	policy     string         // the load-balancing policy of the nodes: "now", "first", "baseline", "timer" or "escalating"
	seed       uint64         // the seed of the load generator
	nodes      int            // the number of nodes
	seconds    int            // the duration of the load, in seconds
	log        *logrus.Logger // the logger of decisions, or nil
	progress   io.Writer      // the writer for the progress of the tour, or nil
}
