// Command lagoontrail runs a node of the query tier. It also has the operators'
// commands, a demo and a benchmark.
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
