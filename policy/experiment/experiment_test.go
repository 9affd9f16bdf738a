package experiment_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/policy/experiment"
)

var (
	name  = flag.String("experiment", "", "run this experiment and print it")
	seeds = flag.Int("seeds", 10, "seeds of the experiment")
)

func TestPrintExperiment(t *testing.T) {
	if *name == "" {
		t.Skip("no -experiment given")
	}
	report, err := experiment.Run(*name, *seeds)
	assert.NilError(t, err)
	assert.NilError(t, report.Print(os.Stdout))
}
