package cmds

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/lagoontrail/lagoon/internal/bench"
	"github.com/lagoontrail/lagoon/internal/bopts"
	"github.com/lagoontrail/lagoon/internal/slope"
)

func demoCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{
		Use: "demo", Short: "Run a whole deployment with failures in one process, and print a report", Example: "  lagoontrail demo", Args: cobra.NoArgs,
		Long: "Runs a simulated platform, simulated servers in three zones and several nodes over loopback. Under load, it takes a zone out and brings it back, restarts a server with cold caches and stops a node gracefully. The exit code is 1 if a guarantee was violated.",
		RunE: func(c *cobra.Command, _ []string) error {
			var o bopts.Options
			o.SetSeed(seed)
			o.SetProgress(c.OutOrStdout())
			return runBench(c, o, []string{"tour"}, "table")
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed of the generated load")
	return c
}

func benchCommand() *cobra.Command {
	var output, trace, out, scenario, deployment, policy string
	var seed uint64
	var nodes, seconds int
	c := &cobra.Command{
		Use: "bench", Short: "Run a scenario of load and failures, and check the guarantees",
		Long:    "Runs real nodes over loopback with simulated servers. Scenarios: all, slope, " + strings.Join(bench.Names(), ", ") + ".",
		Example: "  lagoontrail bench --scenario straggler --seed 7\n  lagoontrail bench --scenario straggler --policy baseline", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, closeLog, err := traceLog(trace)
			if err != nil {
				return err
			}
			defer closeLog()
			if scenario == "slope" {
				return runSlope(c, out)
			}
			var o bopts.Options
			o.SetLog(log)
			o.SetDeployment(deployment)
			o.SetPolicy(policy)
			o.SetSeed(seed)
			o.SetNodes(nodes)
			o.SetSeconds(seconds)
			names := []string{scenario}
			if scenario == "all" {
				names = bench.Names()
			}
			return runBench(c, o, names, output)
		},
	}
	c.Flags().StringVar(&scenario, "scenario", "steady", "the scenario, slope, or all")
	c.Flags().StringVar(&deployment, "deployment", "", "small, nordlys or chattahoochee; the scenario's default if empty")
	c.Flags().StringVar(&policy, "policy", "now", "now (the default policies), first (random replica, no hedging), baseline (plain fan-out), timer or escalating (other rules for readmitting ejected servers)")
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed of the generated load")
	c.Flags().IntVar(&nodes, "nodes", 0, "the number of nodes; 0 means the deployment's default")
	c.Flags().IntVar(&seconds, "seconds", 0, "the duration of the load in seconds; 0 means the scenario's default")
	c.Flags().StringVar(&out, "out", "", "the folder for the tables and plots of the scenario slope")
	c.Flags().StringVar(&trace, "trace", "", "the file for the recorded decisions, as JSON lines")
	c.Flags().StringVarP(&output, "output", "o", "table", "output format: json or table")
	return c
}

// runSlope measures how the cost of control grows with the deployment. It prints
// the tables, or writes them with their plots to the folder out.
func runSlope(c *cobra.Command, out string) error {
	points := slope.Measure()
	if out != "" {
		return slope.Write(out, points)
	}
	_, err := fmt.Fprint(c.OutOrStdout(), slope.Markdown(points))
	return err
}

func runBench(c *cobra.Command, o bopts.Options, names []string, output string) error {
	violated := false
	for _, name := range names {
		o.SetScenario(name)
		report, err := bench.Run(c.Context(), o)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if output == "json" {
			data, err := report.JSON()
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), string(data))
		} else if err := report.Print(c.OutOrStdout()); err != nil {
			return err
		}
		violated = violated || len(report.Violations()) > 0
	}
	if violated {
		return errFailed
	}
	return nil
}

// traceLog returns a logger that writes decisions to a file, or nil if path is
// empty. The cleanup function closes the file.
func traceLog(path string) (*logrus.Logger, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create the trace file")
	}
	log := logrus.New()
	log.SetOutput(io.Writer(f))
	log.SetFormatter(&logrus.JSONFormatter{})
	return log, func() { _ = f.Close() }, nil
}
