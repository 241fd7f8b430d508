// Command lagoontrail is the node of the query tier, its tools for operators,
// its demo and its bench.
//
// # Usage
//
//	lagoontrail --help
package main

import (
	"os"

	"github.com/lagoontrail/lagoon/internal/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
