package cmds

import (
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lagoontrail/lagoon/platform/soak"
)

// soakCommand runs the fault soak of the platform's node.
func soakCommand() *cobra.Command {
	var seed uint64
	var length time.Duration
	var nodes, host int
	var dir string
	c := &cobra.Command{
		Use: "soak", Short: "Run nodes as processes, inject faults and check the promises", Example: "  lagoontrail soak --seed 7 --length 1m", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := &soak.Soak{}
			s.SetSeed(seed)
			s.SetLength(length)
			s.SetNodes(nodes)
			s.SetHost(host)
			s.SetDir(dir)
			faults, err := s.Run(c.Context(), c.OutOrStdout())
			if err != nil {
				return err
			}
			if len(faults) > 0 {
				return errors.Errorf("seed %d: %d promises broken", seed, len(faults))
			}
			c.Printf("seed %d: no promise broken\n", seed)
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "decides on the faults")
	c.Flags().DurationVar(&length, "length", time.Minute, "how long it runs, in whole rounds of about 20 s")
	c.Flags().IntVar(&nodes, "nodes", 5, "the number of nodes")
	c.Flags().IntVar(&host, "host", 1, "the part of the loopback addresses 127.0.HOST.* that the nodes use, 1 to 250")
	c.Flags().StringVar(&dir, "dir", "", "where logs are kept; a new folder when empty")
	return c
}
