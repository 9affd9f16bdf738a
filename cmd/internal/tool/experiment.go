package tool

import (
	"github.com/wigeonusher/wigeonusher/policy/experiment"
)

// experimentCommand measures decisions against their baselines.
type experimentCommand struct {
	Name  string `arg:"" help:"Name of the experiment, or all." default:"all"`
	Seeds int    `help:"Number of seeds per figure." default:"10"`
}

// Help implements kong.HelpProvider.
func (experimentCommand) Help() string {
	return `Runs decisions and their baselines side by side, in virtual time against small models, and prints
mean, least and greatest figure over the seeds, with targets.

Examples:
  wigeonusher experiment rollout
  wigeonusher experiment all --seeds 20 --json`
}

// Run runs one experiment, or all.
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
