package tool

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/platformdemo"
)

// runPlatform runs the demonstration on the stand-in of the users' platform.
func (c *demoCommand) runPlatform(env *environment) error {
	result, err := platformdemo.Run(env.ctx, platformdemo.Config{
		Seed: c.Seed, Duration: c.Duration, Progress: env.out, Log: io.Discard,
	})
	if err != nil {
		return err
	}
	if err := writePlatformDemo(env.out, result); err != nil {
		return err
	}
	if env.json {
		if err := env.printLine(result); err != nil {
			return err
		}
	}
	if !result.Passed {
		return withExitCode(ExitBroken, eris.New("a rule was broken"))
	}
	return nil
}

func writePlatformDemo(w io.Writer, result *platformdemo.Result) error {
	fmt.Fprintf(w, "\nseed %d, %.1f s: %d requests sent, %d answered, %d refused as not run\n\n",
		result.Seed, result.Seconds, result.Sent, result.Answered, result.Refused)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "rule\tchecked\tbroken")
	for _, rule := range result.Rules {
		fmt.Fprintf(table, "%s\t%d\t%d\n", rule.Name, rule.Cases, rule.Violations)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, rule := range result.Rules {
		if rule.Violations > 0 {
			fmt.Fprintf(w, "broken: %s: %s\n", rule.Name, rule.Example)
		}
	}
	return nil
}
