package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that each run gives the same
// result; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
