package tool

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// explainCommand finds out from logs what became of a request.
type explainCommand struct {
	Request string   `arg:"" help:"ID of the request."`
	Files   []string `arg:"" optional:"" help:"Logs of the instances; standard input if none is given." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (explainCommand) Help() string {
	return `Reads the JSON lines that instances write and prints, in order, what they say of one request: each
attempt with its endpoint and outcome, and the final decision. Then it prints what the same instances logged of the
endpoints that the request met and of the configuration, around that time.

Example:
  wigeonusher explain 4fe33475ba52b89d entry-1.log entry-2.log`
}

// logLine is what a line of an instance's log may hold.
type logLine struct {
	Time     string  `json:"time"`
	Message  string  `json:"msg"`
	Instance string  `json:"instance"`
	Request  string  `json:"request"`
	Endpoint string  `json:"endpoint"`
	Service  string  `json:"service"`
	Verdict  string  `json:"verdict"`
	Outcome  string  `json:"outcome"`
	Reason   string  `json:"reason"`
	Error    string  `json:"error"`
	Model    string  `json:"model"`
	Version  string  `json:"version"`
	Arrival  int     `json:"arrival"`
	Status   int     `json:"status"`
	Events   int     `json:"events"`
	NotRun   *bool   `json:"not_run"`
	Revision float64 `json:"revision"`
	AfterMs  int     `json:"after_ms"`
	TookMs   int     `json:"took_ms"`
	FirstMs  int     `json:"first_event_ms"`
	GapMs    int     `json:"longest_gap_ms"`
	AgeMs    int     `json:"config_age_ms"`
}

// explanation is what explain prints.
type explanation struct {
	Request  string    `json:"request"`
	Attempts []logLine `json:"attempts"`
	Ends     []logLine `json:"ends"`
	// Around are lines of the same instances on the endpoints that it met, on
	// the store and on the configuration.
	Around []logLine `json:"around"`
}

// Run explains.
func (c *explainCommand) Run(env *environment) error {
	lines, err := c.read(env)
	if err != nil {
		return err
	}
	found := explain(c.Request, lines)
	if len(found.Attempts)+len(found.Ends) == 0 {
		return eris.Errorf("no line tells of request %s", c.Request)
	}
	return env.print(found, found.write)
}

func (c *explainCommand) read(env *environment) ([]logLine, error) {
	if len(c.Files) == 0 {
		return readLog(env.in)
	}
	var lines []logLine
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open a log")
		}
		more, err := readLog(file)
		file.Close()
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", name)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// readLog reads the lines that are JSON objects; others are left out.
func readLog(in io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal([]byte(text[at:]), &line) == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read a log")
}

// beliefs are messages on what an instance believes.
var beliefs = []string{
	"endpoint listed", "endpoint removed", "configuration in force", "topic is not readable", "topic is readable again",
	"roll-out phase agreed", "instance starts", "instance drains",
}

func explain(request string, lines []logLine) explanation {
	found := explanation{Request: request}
	var instances, endpoints []string
	for _, line := range lines {
		if line.Request != request {
			continue
		}
		instances = append(instances, line.Instance)
		if line.Message == "attempt" {
			found.Attempts = append(found.Attempts, line)
			endpoints = append(endpoints, line.Endpoint)
			continue
		}
		found.Ends = append(found.Ends, line)
	}
	for _, line := range lines {
		if !slices.Contains(beliefs, line.Message) || !slices.Contains(instances, line.Instance) {
			continue
		}
		if line.Endpoint == "" || slices.Contains(endpoints, line.Endpoint) {
			found.Around = append(found.Around, line)
		}
	}
	return found
}

func (e explanation) write(w io.Writer) error {
	out := &strings.Builder{}
	fmt.Fprintf(out, "request %s\n", e.Request)
	for _, a := range e.Attempts {
		fmt.Fprintf(out, "  %s %s: arrival %d after %d ms at %s (%s %s, model %s): %s, status %d, %d events, first after %d ms, longest gap %d ms, took %d ms",
			a.Time, a.Instance, a.Arrival, a.AfterMs, a.Endpoint, a.Service, a.Version, a.Model, a.Verdict, a.Status, a.Events, a.FirstMs, a.GapMs, a.TookMs)
		if a.Error != "" {
			fmt.Fprintf(out, "; %s", a.Error)
		}
		out.WriteByte('\n')
	}
	for _, end := range e.Ends {
		fmt.Fprintf(out, "  %s %s: %s, status %d, under revision %.0f, %d ms old at its arrival", end.Time, end.Instance, end.Outcome, end.Status, end.Revision, end.AgeMs)
		if end.NotRun != nil {
			fmt.Fprintf(out, ", not run: %t", *end.NotRun)
		}
		fmt.Fprintf(out, ", took %d ms\n", end.TookMs)
	}
	if len(e.Around) > 0 {
		out.WriteString("around it\n")
	}
	for _, line := range e.Around {
		fmt.Fprintf(out, "  %s %s: %s %s %s %s\n", line.Time, line.Instance, line.Message, line.Endpoint, line.Reason, line.Error)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
