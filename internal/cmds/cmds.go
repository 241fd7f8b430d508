// Package cmds is the command line of lagoontrail.
//
// # Usage
//
//	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Every command has --help with an example. The exit code is 0 on success, 1 if the
// command failed or a guarantee was violated, and 2 for a usage error.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/lagoontrail/lagoon/internal/config"
	"github.com/lagoontrail/lagoon/internal/logbuf"
	"github.com/lagoontrail/lagoon/internal/node"
	"github.com/lagoontrail/lagoon/platform/boot"
	"github.com/lagoontrail/lagoon/platform/conf"
)

// Version is the version of this program.
const Version = "0.1.0"

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errFailed is the error of a command that has already printed why it failed.
var errFailed = errors.New("failed")

// Run runs one command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := rootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errOut)
	err := cmd.ExecuteContext(ctx)
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, "lagoontrail:", err)
		return exitUsage
	case !errors.Is(err, errFailed):
		fmt.Fprintln(errOut, "lagoontrail:", err)
	}
	return exitFailed
}

// usageError marks errors in a command's flags or arguments.
type usageError struct{ error }

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:           "lagoontrail",
		Short:         "Route queries and requests to the servers of sharded services",
		SilenceErrors: true,
		SilenceUsage:  true,
		Example:       "  lagoontrail demo\n  lagoontrail node --config node.json",
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	c.AddCommand(nodeCommand(), platformCommand(), soakCommand(), checkCommand(), standinCommand(), versionCommand(), demoCommand(), benchCommand())
	c.AddCommand(operatorCommands()...)
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Example: "  lagoontrail version", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "lagoontrail", Version)
			return err
		},
	}
}

func nodeCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use: "node", Short: "Run a node until SIGINT or SIGTERM", Example: "  lagoontrail node --config examples/tour/node-1.json", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := readSettings(path, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return runNode(c.Context(), s, c.ErrOrStderr())
		},
	}
	c.Flags().StringVar(&path, "config", "", "the settings file, in JSON")
	_ = c.MarkFlagRequired("config")
	return c
}

func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use: "platform", Short: "Run a node on the operators' platform until SIGINT or SIGTERM", Example: "  " + conf.EnvVar + "=/etc/lagoontrail/local.toml lagoontrail platform", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return boot.Run(c.Context(), c.OutOrStdout()) },
	}
}

// readSettings reads a settings file. If the settings are invalid, it prints every
// problem and returns errFailed.
func readSettings(path string, errOut io.Writer) (*config.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	s, problems := config.Parse(data)
	if len(problems) == 0 {
		return s, nil
	}
	for _, p := range problems {
		fmt.Fprintf(errOut, "%s: %s\n", path, p)
	}
	return nil, errFailed
}

func runNode(ctx context.Context, s *config.Settings, errOut io.Writer) error {
	log := logrus.New()
	buffer, stopLog := logbuf.New(errOut)
	defer stopLog()
	log.SetOutput(buffer)
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(s.LogLevel())
	if err != nil {
		return errors.Wrap(err, "log_level")
	}
	log.SetLevel(level)
	n, stop, err := node.New(s, log, nil)
	if err != nil {
		return err
	}
	defer stop()
	log.WithFields(logrus.Fields{"node": s.Name(), "listen": s.Listen(), "version": Version}).Info("node started")
	err = n.Serve(ctx)
	log.WithField("node", s.Name()).Info("node stopped")
	return err
}

func checkCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use: "check [RESOURCES.json ...]", Short: "Validate settings and resources without starting a node", Example: "  lagoontrail check --config node.json examples/nordlys/resources.json",
		RunE: func(c *cobra.Command, args []string) error {
			if path == "" && len(args) == 0 {
				return usageError{errors.New("check: give a settings file with --config, or resource files")}
			}
			if path != "" {
				if _, err := readSettings(path, c.ErrOrStderr()); err != nil {
					return err
				}
			}
			if err := checkResources(args, c.ErrOrStderr()); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "no problems found")
			return err
		},
	}
	c.Flags().StringVar(&path, "config", "", "the settings file, in JSON")
	return c
}
