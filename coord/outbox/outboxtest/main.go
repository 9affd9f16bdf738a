package outboxtest

import (
	"flag"
	"strconv"
	"testing"
)

// Main runs the tests of a package and returns the exit code. It sets the seed,
// the number of steps and the number of checks of property tests, unless they
// are set by flags.
func Main(m *testing.M, seed, steps, checks int) int {
	flag.Parse()
	defaults := map[string]int{"rapid.seed": seed, "rapid.steps": steps, "rapid.checks": checks}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
