package tool

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/demo"
)

// demoCommand runs a demonstration fleet in this process.
type demoCommand struct {
	Deployment   string        `help:"Shape of the fleet: sheetline or guild." enum:"sheetline,guild" default:"sheetline"`
	Seed         uint64        `help:"Seed of the traffic, the answers and the faults." default:"1"`
	Duration     time.Duration `help:"Length of the traffic, 10s to 25s." default:"20s"`
	Platform     bool          `help:"Run entry instances on the stand-in of the users' platform."`
	Observations string        `help:"File for every observation, a JSON object per line." type:"path"`
}

// Help implements kong.HelpProvider.
func (demoCommand) Help() string {
	return `Starts nine instances, engines, desks and the platform's stand-ins in this process, on
loopback addresses. While mixed traffic runs, two versions are rolled out, one of them turns bad and
is withdrawn, one instance is killed and replaced and another stopped in the planned way, the log
service has an outage, an engine leaves, and one request crashes the engines that run it. Ends by
itself within 45 s; exits with 0 only if every invariant held, and with 6 otherwise. With --json the
last line of the output is the result as one object.

With --platform, nine entry instances run on the stand-in of the users' platform: an engine drains, an
instance is replaced, the store is silent, a key is revoked, an engine crashes, and a roll-out is
ordered, while one answer in ten goes wrong.

Examples:
  wigeonusher demo
  wigeonusher demo --deployment guild --seed 7 --duration 15s --json
  wigeonusher demo --platform --seed 7`
}

// Run runs the demonstration and prints its table of invariants.
func (c *demoCommand) Run(env *environment) error {
	if c.Platform {
		return c.runPlatform(env)
	}
	result, err := demo.Run(env.ctx, demo.Config{
		Deployment: c.Deployment,
		Seed:       c.Seed,
		Duration:   c.Duration,
		Progress:   env.out,
	})
	if err != nil {
		return err
	}
	if err := writeFile(c.Observations, result.Load.WriteObservations); err != nil {
		return err
	}
	if err := writeDemo(env.out, result); err != nil {
		return err
	}
	if env.json {
		if err := env.printLine(result); err != nil {
			return err
		}
	}
	if !result.Passed {
		return withExitCode(ExitBroken, eris.Errorf("invariants broken: %v; steps failed: %v", result.Table.Broken(), result.Failures))
	}
	return nil
}

func writeDemo(w io.Writer, result *demo.Result) error {
	fmt.Fprintf(w, "\n%s, seed %d, %.1f s\n\n", result.Deployment, result.Seed, result.Seconds)
	if err := result.Table.Write(w); err != nil {
		return err
	}
	for _, event := range result.AutomaticEvents {
		fmt.Fprintf(w, "  moved by %s: %s %s: %s\n", event.Author, event.Subject, event.Action, event.Reason)
	}
	for _, failure := range result.Failures {
		fmt.Fprintln(w, "  step failed:", failure)
	}
	verdict := "every invariant held"
	if !result.Passed {
		verdict = "NOT every invariant held"
	}
	_, err := fmt.Fprintf(w, "\n%s\n", verdict)
	return err
}
