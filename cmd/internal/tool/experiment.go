package tool

import (
	"fmt"

	"github.com/wigeonusher/wigeonusher/policy/experiment"
)

// experimentCommand compares the decisions of the policy packages with simple
// baselines and oracles, in simulations.
type experimentCommand struct {
	Name  string `arg:"" help:"Name of the experiment, or all." default:"all"`
	Seeds int    `help:"Number of seeds per figure." default:"10"`
	Plots string `help:"Directory for plots over time (SVG), of experiments that give them." type:"path"`
}

// Help implements kong.HelpProvider.
func (experimentCommand) Help() string {
	return `Runs decisions and their baselines side by side, in virtual time against small models, and prints
mean, least and greatest figure over the seeds, with targets.

Examples:
  wigeonusher experiment rollout
  wigeonusher experiment all --seeds 20 --json
  wigeonusher experiment overload --plots plots`
}

// Run runs one experiment, or all of them, and prints the reports.
func (c *experimentCommand) Run(env *environment) error {
	names := []string{c.Name}
	if c.Name == "all" {
		names = experiment.Names()
	}
	for _, name := range names {
		report, err := experiment.Run(name, c.Seeds)
		if err != nil {
			return err
		}
		if err := c.writePlots(env, report); err != nil {
			return err
		}
		if env.json {
			err = env.printLine(report)
		} else {
			err = report.Print(env.out)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *experimentCommand) writePlots(env *environment, report experiment.Report) error {
	if c.Plots == "" || len(report.Series) == 0 {
		return nil
	}
	names, err := writePlotFiles(c.Plots, report.Series)
	if err != nil {
		return err
	}
	for _, name := range names {
		fmt.Fprintln(env.err, "wrote", name)
	}
	return nil
}
