package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/opcli"
	"github.com/lagoontrail/lagoon/internal/wire"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// operatorFlags are the flags of commands that call a node's API.
type operatorFlags struct {
	addr   string
	output string
}

func (f *operatorFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.addr, "addr", "127.0.0.1:7101", "the address of any node")
	c.Flags().StringVarP(&f.output, "output", "o", "table", "output format: json or table")
}

func (f *operatorFlags) client() (*opcli.Client, error) {
	if f.output != "json" && f.output != "table" {
		return nil, usageError{errors.Errorf("-o is %q; must be json or table", f.output)}
	}
	return opcli.New(f.addr), nil
}

func operatorCommands() []*cobra.Command {
	return []*cobra.Command{getCommand(), applyCommand(), watchCommand(), queryCommand(), explainCommand(), zoneCommand(), actionsCommand()}
}

func getCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use: "get [status|service|zone|rule [NAME]]", Short: "Show resources, or the state of a node", Example: "  lagoontrail get status\n  lagoontrail get zone cph-1 -o json", Args: cobra.MaximumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			path := "/v1/resources"
			switch {
			case len(args) == 0:
			case args[0] == "status":
				path = "/v1/status"
			case len(args) == 1:
				path += "?kind=" + args[0]
			default:
				path += "/" + args[0] + "/" + args[1]
			}
			data, err := client.Get(c.Context(), path)
			if err != nil {
				return err
			}
			return printReply(c.OutOrStdout(), f.output, data)
		},
	}
	f.register(c)
	return c
}

func applyCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use: "apply FILE", Short: "Declare the resources in a file", Example: "  lagoontrail apply examples/tour/resources.json", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			r, err := readResources(args[0])
			if err != nil {
				return err
			}
			for _, item := range r.items() {
				reply, err := client.Apply(c.Context(), item.kind, item.name, item.raw)
				if err != nil {
					return errors.Wrapf(err, "%s %s", item.kind, item.name)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s %s: %s\n", item.kind, item.name, reply)
			}
			return nil
		},
	}
	f.register(c)
	return c
}

func zoneCommand() *cobra.Command {
	c := &cobra.Command{Use: "zone", Short: "Take a zone out of use, or bring it back", Example: "  lagoontrail zone take-out cph-2 --reason 'switch maintenance'"}
	for use, state := range map[string]string{"take-out ZONE": "out", "bring-back ZONE": "in"} {
		var f operatorFlags
		var reason string
		sub := &cobra.Command{
			Use: use, Short: "Declare the zone " + state, Example: "  lagoontrail zone " + strings.Fields(use)[0] + " cph-2 --reason 'switch maintenance'", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				client, err := f.client()
				if err != nil {
					return err
				}
				reply, err := client.SetZoneState(c.Context(), args[0], state, reason)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(c.OutOrStdout(), "zone %s is declared %s: %s\n", args[0], state, reply)
				return err
			},
		}
		sub.Flags().StringVar(&reason, "reason", "", "the reason, which the list of actions shows")
		_ = sub.MarkFlagRequired("reason")
		f.register(sub)
		c.AddCommand(sub)
	}
	return c
}

func watchCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use: "watch", Short: "Print each action as it is recorded, such as an accepted configuration", Example: "  lagoontrail watch", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			return printActions(c, client, f.output)
		},
	}
	f.register(c)
	return c
}

// actionList is the reply to a request for actions.
type actionList struct {
	Actions []struct {
		Seq     uint64    `json:"seq"`
		At      time.Time `json:"at"`
		Node    string    `json:"node"`
		Kind    string    `json:"kind"`
		Subject string    `json:"subject"`
		Reason  string    `json:"reason"`
	} `json:"actions"`
}

// pollInterval is the time between requests for new actions.
const pollInterval = 500 * time.Millisecond

// printActions prints new actions until the command is interrupted.
func printActions(c *cobra.Command, client *opcli.Client, output string) error {
	after := uint64(0)
	for {
		data, err := client.Get(c.Context(), "/v1/actions?after="+strconv.FormatUint(after, 10))
		if err != nil && c.Context().Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		var list actionList
		if err := json.Unmarshal(data, &list); err != nil {
			return errors.Wrap(err, "decode the actions")
		}
		for _, a := range list.Actions {
			after = max(after, a.Seq)
			line := fmt.Sprintf("%s %s %s %s: %s", a.At.Format("15:04:05.000"), a.Node, a.Kind, a.Subject, a.Reason)
			if output == "json" {
				raw, _ := json.Marshal(a) // cannot fail: the fields are strings, a number and a decoded time
				line = string(raw)
			}
			fmt.Fprintln(c.OutOrStdout(), line)
		}
		select {
		case <-c.Context().Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}

func actionsCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use: "actions", Short: "Show the recorded actions of a node, with their reasons", Example: "  lagoontrail actions --addr 127.0.0.1:7101", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			data, err := client.Get(c.Context(), "/v1/actions")
			if err != nil {
				return err
			}
			return printReply(c.OutOrStdout(), f.output, data)
		},
	}
	f.register(c)
	return c
}

func explainCommand() *cobra.Command {
	var f operatorFlags
	c := &cobra.Command{
		Use: "explain QUERY_ID | explain server|zone|node|service NAME", Short: "Show the decisions about a query, server, zone, node or service, with their reasons", Example: "  lagoontrail explain 7e6f1c52-0d6e-4d2c-9a51-4c2f7d7a0b11\n  lagoontrail explain zone cph-2", Args: cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			if len(args) == 1 {
				args = []string{"query", args[0]}
			}
			data, err := client.Explain(c.Context(), args[0], args[1])
			if err != nil {
				return err
			}
			return printReply(c.OutOrStdout(), f.output, data)
		},
	}
	f.register(c)
	return c
}

func queryCommand() *cobra.Command {
	var f operatorFlags
	var q lagoon.Query
	var body, id string
	var timeout time.Duration
	var write bool
	var coverage float64
	c := &cobra.Command{
		Use: "query SERVICE", Short: "Send one query", Example: "  lagoontrail query archive-desk --body 'red coat 2019'\n  lagoontrail query casting-book --write --body 'model 7'", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := f.client(); err != nil {
				return err
			}
			client, stop := caller.New("", f.addr)
			defer stop()
			if id == "" {
				id = client.NewID()
			}
			q.SetID(id)
			q.SetService(args[0])
			q.SetBody([]byte(body))
			q.SetTimeout(timeout)
			q.SetIdempotent(!write)
			q.SetMinCoverage(coverage)
			a, err := client.Query(c.Context(), q)
			if err != nil {
				return err
			}
			if err := printReply(c.OutOrStdout(), f.output, wire.Codec{}.EncodeAnswer(a)); err != nil {
				return err
			}
			if a.Outcome() != lagoon.OutcomeAnswered {
				return errFailed
			}
			return nil
		},
	}
	c.Flags().StringVar(&body, "body", "", "the body of the query")
	c.Flags().StringVar(&id, "id", "", "the ID of the query; a new one if empty")
	c.Flags().DurationVar(&timeout, "timeout", 0, "the deadline of the query; 0 means the rule's deadline")
	c.Flags().BoolVar(&write, "write", false, "marks the query as not idempotent, so that it runs at most once")
	c.Flags().Float64Var(&coverage, "min-coverage", 0, "the smallest accepted share of shards; 0 means the rule's")
	f.register(c)
	return c
}

// printReply prints a reply as JSON or as a table.
func printReply(out io.Writer, output string, data []byte) error {
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "decode the reply")
	}
	if output == "json" {
		indented, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, string(indented))
		return err
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	opcli.WriteTable(t, v)
	return t.Flush()
}
