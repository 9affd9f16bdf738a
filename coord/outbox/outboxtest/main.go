package outboxtest

import (
	"flag"
	"strconv"
	"testing"
)

// Main runs the tests of a package with a fixed seed, number of steps and
// number of checks of its property searches, unless flags say otherwise, and
// returns the exit code.
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
