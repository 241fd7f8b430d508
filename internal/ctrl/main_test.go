package ctrl_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that runs are reproducible. For other seeds use
// go test ./internal/ctrl -rapid.seed=N -rapid.checks=M.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
