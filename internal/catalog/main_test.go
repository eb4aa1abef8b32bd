package catalog

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests; -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
