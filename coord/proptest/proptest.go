// Package proptest fixes the seeds of property tests, so that a test of unchanged
// code always has the same result.
package proptest

import (
	"flag"
	"os"
	"testing"

	// Defines the rapid.* flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs the tests of a package with the given seed and exits. Call it from
// TestMain. A seed on the command line takes precedence.
func Main(m *testing.M, seed string) {
	flag.Parse()
	if current := flag.Lookup("rapid.seed"); current.Value.String() == current.DefValue {
		_ = flag.Set("rapid.seed", seed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
