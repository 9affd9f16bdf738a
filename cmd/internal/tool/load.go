package tool

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/history"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/check"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
	"github.com/wigeonusher/wigeonusher/standin/load"
)

const (
	runNameLength      = 6
	settleTimeout      = 5 * time.Second
	settlePollInterval = 200 * time.Millisecond
)

// loadCommand sends generated traffic to a running fleet and verifies the answers.
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

// Run sends the traffic, checks the answers and prints the report.
func (c *loadCommand) Run(env *environment) error {
	mix, err := c.readMix()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	if findings := mix.Check(); len(findings) > 0 {
		return env.reportFindings(findings)
	}
	report, err := load.Run(env.ctx, mix, load.Options{})
	if err != nil {
		return err
	}
	if err := c.writeFiles(report); err != nil {
		return err
	}
	table, err := c.checkInvariants(env, report)
	if err != nil {
		return err
	}
	result := loadResult{Report: report, Table: table}
	if err := env.printResult(result, result.write); err != nil {
		return err
	}
	if table != nil && !table.Passed {
		return withExitCode(ExitBroken, eris.Errorf("invariants broken: %v", table.Broken()))
	}
	if report.Defective > 0 {
		return withExitCode(ExitBroken, eris.Errorf("%d answers were malformed, incomplete, or of another request or model version", report.Defective))
	}
	return nil
}

// loadResult is the JSON output of the load command.
type loadResult struct {
	*load.Report
	// Table is the table of invariants. It is nil unless requested.
	Table *check.Table `json:"table,omitempty"`
}

func (r loadResult) write(w io.Writer) error {
	if err := r.Report.Write(w); err != nil || r.Table == nil {
		return err
	}
	fmt.Fprintln(w)
	return r.Table.Write(w)
}

// checkInvariants evaluates the invariants of the run, or returns nil if that was
// not requested. It first waits up to settleTimeout until all answered chat
// requests are billed.
func (c *loadCommand) checkInvariants(env *environment, report *load.Report) (*check.Table, error) {
	if c.CheckLog == "" || c.CheckList == "" {
		return nil, nil
	}
	collector := history.Collector{Log: c.CheckLog, List: c.CheckList, Client: env.client}
	deadline := time.Now().Add(settleTimeout)
	for {
		history, err := collector.History(env.ctx)
		if err != nil {
			return nil, err
		}
		history.Observations = report.Observations
		if check.Unbilled(history) > 0 && time.Now().Before(deadline) {
			time.Sleep(settlePollInterval)
			continue
		}
		history.StrongVersion = document.Ref{Model: fixture.Strong, Version: fixture.V1}
		history.SettleGrace = settleTimeout
		history.ExposureLimit = -1 // not checked
		return check.Evaluate(history), nil
	}
}

// readMix returns the traffic of the mix file or of the built-in deployment, with
// the values of the other flags applied.
func (c *loadCommand) readMix() (load.Mix, error) {
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
	c.applyFlags(&mix)
	if mix.Run == "" {
		mix.Run = rand.Text()[:runNameLength] + "-"
	}
	return mix, nil
}

func (c *loadCommand) applyFlags(mix *load.Mix) {
	if len(c.Caller) > 0 {
		mix.CallerAddresses = c.Caller
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

func (c *loadCommand) writeFiles(report *load.Report) error {
	if err := writeFile(c.Histogram, report.WriteHistograms); err != nil {
		return err
	}
	return writeFile(c.Observations, report.WriteObservations)
}

// writeFile creates a file and fills it by a call of the function write. It does
// nothing if the path is empty.
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
