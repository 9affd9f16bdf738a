package tool

import (
	"fmt"

	"github.com/wigeonusher/wigeonusher/cmd/internal/capacity"
)

// capacityCommand measures the cost of each role and extrapolates it to
// [capacity.TargetSize].
type capacityCommand struct{}

// Help implements kong.HelpProvider.
func (capacityCommand) Help() string {
	return `Runs idle fleets of several sizes in this process and benchmarks of the parts, about two minutes
in all, and works out what each role costs an instance at the size to design for. Figures are those
of this machine. See docs/CAPACITY.md.

Example:
  wigeonusher capacity --json`
}

// Run measures and prints the report.
func (capacityCommand) Run(env *environment) error {
	report, err := capacity.Measure(env.ctx, capacity.TargetSize(), func(step string) { fmt.Fprintln(env.out, step) })
	if err != nil {
		return err
	}
	if env.json {
		return env.printLine(report)
	}
	return report.Write(env.out)
}
