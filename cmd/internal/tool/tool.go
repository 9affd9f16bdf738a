package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

const callTimeout = 5 * time.Second

// commands defines the command line.
type commands struct {
	JSON bool `help:"Print JSON instead of text." name:"json"`

	Config     configCommands    `cmd:"" help:"Check, show and publish sections of the configuration document."`
	Audit      auditCommand      `cmd:"" help:"List who changed what, and what instances did of their own accord."`
	Status     statusCommand     `cmd:"" help:"Ask instances how they are."`
	Demo       demoCommand       `cmd:"" help:"Run a whole fleet in one process, with faults, and check every invariant."`
	Capacity   capacityCommand   `cmd:"" help:"Measure what each role of an instance costs."`
	Experiment experimentCommand `cmd:"" help:"Measure decisions against their baselines."`
	Explain    explainCommand    `cmd:"" help:"Find out from logs what became of a request."`
	Where      whereCommand      `cmd:"" help:"Ask an instance where a request would go now, without sending it."`
	Delays     delaysCommand     `cmd:"" help:"Find out from logs where the time of late and failed requests went."`
	Load       loadCommand       `cmd:"" help:"Drive a running fleet on this machine and verify every answer."`
	Standin    standinCommands   `cmd:"" help:"Serve a stand-in of an outside system until interrupted."`
}

// environment contains the context, the streams and the HTTP client that the
// commands use.
type environment struct {
	ctx    context.Context
	in     io.Reader
	out    io.Writer
	err    io.Writer
	json   bool
	client *http.Client
}

const description = `The operators' tool of wigeonusher, a model-aware request router.

Examples:
  wigeonusher demo --deployment guild --seed 7
  wigeonusher config show --log http://127.0.0.1:7000
  wigeonusher config publish --section models --file models.json --author ana --wait 16s --instance 127.0.0.1:9001
  wigeonusher audit --log http://127.0.0.1:7000 --json

` + exitHelp

// Main runs the tool with the given arguments and returns its exit code.
func Main(ctx context.Context, arguments []string, in io.Reader, out, errOut io.Writer) ExitCode {
	var cli commands
	exitCode := ExitOK
	exitRequested := false
	parser, err := kong.New(&cli,
		kong.Name("wigeonusher"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false, WrapUpperBound: 100}),
		kong.Exit(func(code int) { exitCode, exitRequested = ExitCode(code), true }),
	)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	parsed, err := parser.Parse(arguments)
	if exitRequested {
		return exitCode
	}
	if err != nil {
		fmt.Fprintln(errOut, "wigeonusher:", err)
		fmt.Fprintln(errOut, "Run wigeonusher --help for the commands.")
		return ExitUsage
	}
	env := &environment{
		ctx:    ctx,
		in:     in,
		out:    out,
		err:    errOut,
		json:   cli.JSON,
		client: &http.Client{Timeout: callTimeout},
	}
	err = parsed.Run(env)
	if err != nil {
		fmt.Fprintln(errOut, "wigeonusher:", err)
	}
	return exitCodeOf(err)
}

// printResult writes the value as JSON with the --json flag, and otherwise calls
// the function text to write it.
func (e *environment) printResult(value any, text func(io.Writer) error) error {
	if !e.json {
		return text(e.out)
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "print")
}

// printLine writes the value as JSON on a single line.
func (e *environment) printLine(value any) error {
	return eris.Wrap(json.NewEncoder(e.out).Encode(value), "print")
}
