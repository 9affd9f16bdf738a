// Package proptest fixes the seeds of property tests, so that equal code gets
// equal verdicts.
package proptest

import (
	"flag"
	"os"
	"testing"

	// The flags that are set belong to this package.
	_ "pgregory.net/rapid"
)

// Main runs the tests of a package with the seed given, as its TestMain. A seed
// on the command line takes precedence.
func Main(m *testing.M, seed string) {
	flag.Parse()
	if given := flag.Lookup("rapid.seed"); given.Value.String() == given.DefValue {
		_ = flag.Set("rapid.seed", seed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
