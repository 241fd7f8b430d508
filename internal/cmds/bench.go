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
		Use: "demo", Short: "Run a whole deployment in one process, with failures, and report", Example: "  lagoontrail demo", Args: cobra.NoArgs,
		Long: "Runs the platform's stand-in, stand-in servers in three zones and several nodes over loopback. Takes a zone out and back, restarts a server cold and stops a node gracefully, under load. The exit code is 1 when a promise was broken.",
		RunE: func(c *cobra.Command, _ []string) error {
			var o bopts.Options
			o.SetSeed(seed)
			o.SetStory(c.OutOrStdout())
			return runBench(c, o, []string{"tour"}, "table")
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed of the load")
	return c
}

func benchCommand() *cobra.Command {
	var output, trace, out, scenario, deployment, policy string
	var seed uint64
	var nodes, seconds int
	c := &cobra.Command{
		Use: "bench", Short: "Run a scenario of load and failures, and check the promises",
		Long:    "Runs real nodes over loopback with stand-in servers. Scenarios: all, slope, " + strings.Join(bench.Names(), ", ") + ".",
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
	c.Flags().StringVar(&scenario, "scenario", "steady", "the scenario, or all")
	c.Flags().StringVar(&deployment, "deployment", "", "small, nordlys or chattahoochee; the scenario's own when left out")
	c.Flags().StringVar(&policy, "policy", "now", "now, first (the project's first policies), baseline (plain fan-out), timer or escalating (other ways for ejected servers to return)")
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed of the load")
	c.Flags().IntVar(&nodes, "nodes", 0, "the number of nodes; the deployment's own when 0")
	c.Flags().IntVar(&seconds, "seconds", 0, "the length of the load in seconds; the scenario's own when 0")
	c.Flags().StringVar(&out, "out", "", "a folder for the tables and plots of the scenario slope")
	c.Flags().StringVar(&trace, "trace", "", "a file for the decisions, as JSON lines")
	c.Flags().StringVarP(&output, "output", "o", "table", "how to print: json or table")
	return c
}

// runSlope measures how control grows, and prints or writes the tables.
func runSlope(c *cobra.Command, out string) error {
	points := slope.Measure()
	if out != "" {
		return slope.Write(out, points)
	}
	_, err := fmt.Fprint(c.OutOrStdout(), slope.Markdown(points))
	return err
}

func runBench(c *cobra.Command, o bopts.Options, names []string, output string) error {
	broken := false
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
		broken = broken || len(report.Broken()) > 0
	}
	if broken {
		return errFailed
	}
	return nil
}

// traceLog returns a log of decisions into a file, or nil without one.
func traceLog(path string) (*logrus.Logger, func(), error) {
	if path == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the trace")
	}
	log := logrus.New()
	log.SetOutput(io.Writer(f))
	log.SetFormatter(&logrus.JSONFormatter{})
	return log, func() { _ = f.Close() }, nil
}
