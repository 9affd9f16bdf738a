package tool

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/evidence"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/check"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
	"github.com/wigeonusher/wigeonusher/standin/load"
)

const (
	runNameLength = 6
	settleLimit   = 5 * time.Second
	settlePause   = 200 * time.Millisecond
)

// loadCommand drives a running fleet.
type loadCommand struct {
	Mix          string        `help:"JSON file that describes the traffic." type:"existingfile" xor:"mix"`
	Deployment   string        `help:"Use the traffic and the demo keys of a built-in deployment: sheetline or guild." enum:",sheetline,guild" default:"" xor:"mix"`
	Caller       []string      `help:"Callers' address of an instance, on a loopback IP number; may be repeated. Replaces those of the mix." placeholder:"ADDRESS"`
	Seed         uint64        `help:"Seed of the traffic; that of the mix if 0."`
	Duration     time.Duration `help:"Length of the run; that of the mix if 0."`
	Rate         float64       `help:"Requests begun per second, whatever the answers; the pace of the mix if 0."`
	Users        int           `help:"Virtual users that each wait for an answer; the pace of the mix if 0."`
	Histogram    string        `help:"File for the latency distributions." type:"path"`
	Observations string        `help:"File for every observation, a JSON object per line." type:"path"`
	CheckLog     string        `help:"Base URL of the log stand-in: check every invariant afterwards, with --check-list." placeholder:"URL"`
	CheckList    string        `help:"Base URL of the instance list stand-in: ask the endpoints listed for what they ran." placeholder:"URL"`
}

// Help implements kong.HelpProvider.
func (loadCommand) Help() string {
	return `Verifies that every answer is whole and the request's own; exits with 6 if one is not.
Only loopback addresses are driven. With --check-log and --check-list it also waits for the bills
to settle, collects what the stand-ins of the endpoints ran, and prints a table of invariants.

Examples:
  wigeonusher load --deployment sheetline --caller 127.0.0.1:8001 --caller 127.0.0.1:8002 --duration 10s
  wigeonusher load --mix mix.json --rate 200 --histogram latency.txt --json`
}

// Run drives the fleet.
func (c *loadCommand) Run(env *environment) error {
	mix, err := c.mix()
	if err != nil {
		return withCode(ExitUsage, err)
	}
	if findings := mix.Check(); len(findings) > 0 {
		return env.report(findings)
	}
	report, err := load.Run(env.ctx, mix, load.Options{})
	if err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return err
	}
	table, err := c.check(env, report)
	if err != nil {
		return err
	}
	result := loadResult{Report: report, Table: table}
	if err := env.print(result, result.write); err != nil {
		return err
	}
	if table != nil && !table.Held {
		return withCode(ExitBroken, eris.Errorf("broken: %v", table.Broken()))
	}
	if report.Defective > 0 {
		return withCode(ExitBroken, eris.Errorf("%d answers were mixed up, cut or said too little", report.Defective))
	}
	return nil
}

// loadResult is what load prints.
type loadResult struct {
	*load.Report
	// Table is the table, if it was asked for.
	Table *check.Table `json:"table,omitempty"`
}

func (r loadResult) write(w io.Writer) error {
	if err := r.Report.Write(w); err != nil || r.Table == nil {
		return err
	}
	fmt.Fprintln(w)
	return r.Table.Write(w)
}

// check holds the run against the invariants, if that was asked for.
func (c *loadCommand) check(env *environment, report *load.Report) (*check.Table, error) {
	if c.CheckLog == "" || c.CheckList == "" {
		return nil, nil
	}
	collector := evidence.Collector{Log: c.CheckLog, List: c.CheckList, Client: env.client}
	deadline := time.Now().Add(settleLimit)
	for {
		history, err := collector.History(env.ctx)
		if err != nil {
			return nil, err
		}
		history.Observations = report.Observations
		if check.Unbilled(history) > 0 && time.Now().Before(deadline) {
			time.Sleep(settlePause)
			continue
		}
		history.Strong = document.Ref{Model: fixture.Strong, Version: fixture.V1}
		history.SettleGrace = settleLimit
		history.ExposureLimit = -1
		return check.Evaluate(history), nil
	}
}

func (c *loadCommand) mix() (load.Mix, error) {
	var mix load.Mix
	switch {
	case c.Mix != "":
		body, err := os.ReadFile(c.Mix)
		if err != nil {
			return mix, eris.Wrap(err, "read mix")
		}
		if mix, err = load.DecodeMix(body); err != nil {
			return mix, err
		}
	case c.Deployment != "":
		mix = load.MixFor(fixture.ByName(c.Deployment))
	default:
		return mix, eris.New("give --mix or --deployment")
	}
	c.override(&mix)
	if mix.Run == "" {
		mix.Run = rand.Text()[:runNameLength] + "-"
	}
	return mix, nil
}

func (c *loadCommand) override(mix *load.Mix) {
	if len(c.Caller) > 0 {
		mix.Callers = c.Caller
	}
	if c.Seed != 0 {
		mix.Seed = c.Seed
	}
	if c.Duration > 0 {
		mix.MaxSeconds = max(1, int(c.Duration.Round(time.Second).Seconds()))
	}
	if c.Rate > 0 {
		mix.Rate, mix.VirtualUsers = c.Rate, 0
	}
	if c.Users > 0 {
		mix.Rate, mix.VirtualUsers = 0, c.Users
	}
}

func (c *loadCommand) write(report *load.Report) error {
	if err := writeFile(c.Histogram, report.WriteHistograms); err != nil {
		return err
	}
	return writeFile(c.Observations, report.WriteObservations)
}

// writeFile creates a file with what write gives; none if the path is empty.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	if err := write(file); err != nil {
		file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "close file")
}
