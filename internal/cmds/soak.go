package cmds

import (
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/lagoontrail/lagoon/platform/soak"
)

// soakCommand runs the soak test of nodes on the operators' platform.
func soakCommand() *cobra.Command {
	var seed uint64
	var duration time.Duration
	var nodes, subnet int
	var dir string
	c := &cobra.Command{
		Use: "soak", Short: "Run nodes as processes, inject faults and check the guarantees", Example: "  lagoontrail soak --seed 7 --length 1m", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := &soak.Soak{}
			s.SetSeed(seed)
			s.SetDuration(duration)
			s.SetNodes(nodes)
			s.SetSubnet(subnet)
			s.SetDir(dir)
			violations, err := s.Run(c.Context(), c.OutOrStdout())
			if err != nil {
				return err
			}
			if len(violations) > 0 {
				return errors.Errorf("seed %d: %d guarantees violated", seed, len(violations))
			}
			c.Printf("seed %d: no guarantee violated\n", seed)
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed of the random faults")
	c.Flags().DurationVar(&duration, "length", time.Minute, "how long to run, in whole rounds of about 20 s")
	c.Flags().IntVar(&nodes, "nodes", 5, "the number of nodes")
	c.Flags().IntVar(&subnet, "host", 1, "the third byte of the nodes' loopback addresses, 127.0.HOST.*; 1 to 250")
	c.Flags().StringVar(&dir, "dir", "", "the folder for logs; a new one if empty")
	return c
}
