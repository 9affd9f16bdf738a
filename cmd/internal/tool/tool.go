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

// commands is the whole command line.
type commands struct {
	JSON bool `help:"Print JSON instead of text." name:"json"`

	Config     configCommands    `cmd:"" help:"Check, show and publish sections of the configuration document."`
	Audit      auditCommand      `cmd:"" help:"List who changed what, and what instances did of their own accord."`
	Status     statusCommand     `cmd:"" help:"Ask instances how they are."`
	Demo       demoCommand       `cmd:"" help:"Run a whole fleet in one process, with faults, and check every invariant."`
	Capacity   capacityCommand   `cmd:"" help:"Measure what each role of an instance costs."`
	Experiment experimentCommand `cmd:"" help:"Measure decisions against their baselines."`
	Explain    explainCommand    `cmd:"" help:"Find out from logs what became of a request."`
	Load       loadCommand       `cmd:"" help:"Drive a running fleet on this machine and verify every answer."`
	Standin    standinCommands   `cmd:"" help:"Serve a stand-in of an outside system until interrupted."`
}

// environment is what commands work with besides their arguments.
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

// Main runs the tool with the arguments given and returns its exit code.
func Main(ctx context.Context, arguments []string, in io.Reader, out, errors io.Writer) ExitCode {
	var line commands
	exited := ExitOK
	stop := false
	parser, err := kong.New(&line,
		kong.Name("wigeonusher"),
		kong.Description(description),
		kong.Writers(out, errors),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false, WrapUpperBound: 100}),
		kong.Exit(func(code int) { exited, stop = ExitCode(code), true }),
	)
	if err != nil {
		fmt.Fprintln(errors, err)
		return ExitFailed
	}
	parsed, err := parser.Parse(arguments)
	if stop {
		return exited
	}
	if err != nil {
		fmt.Fprintln(errors, "wigeonusher:", err)
		fmt.Fprintln(errors, "Run wigeonusher --help for the commands.")
		return ExitUsage
	}
	env := &environment{
		ctx:    ctx,
		in:     in,
		out:    out,
		err:    errors,
		json:   line.JSON,
		client: &http.Client{Timeout: callTimeout},
	}
	err = parsed.Run(env)
	if err != nil {
		fmt.Fprintln(errors, "wigeonusher:", err)
	}
	return codeOf(err)
}

// print writes the value as JSON if that was asked for, and calls text
// otherwise.
func (e *environment) print(value any, text func(io.Writer) error) error {
	if !e.json {
		return text(e.out)
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "print")
}

// printLine writes the value as JSON on one line.
func (e *environment) printLine(value any) error {
	return eris.Wrap(json.NewEncoder(e.out).Encode(value), "print")
}
