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

// maxLogLineBytes bounds one line of a log.
const maxLogLineBytes = 1 << 20

// explainCommand reports the attempts and the outcome of a request from logs.
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

// logLine contains the fields that explain reads from a line of an instance's log.
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
	Route    string  `json:"route"`
	Account  string  `json:"account"`

	Admission    string `json:"admission"`
	RetryAfterMs int    `json:"retry_after_ms"`
	Scarce       *bool  `json:"scarce"`

	UsualFirstMs int `json:"usual_first_event_ms"`
	ObjectiveMs  int `json:"objective_ms"`
	FirstAfterMs int `json:"first_after_ms"`

	Phase  string `json:"phase"`
	Target string `json:"target"`

	Framing           string `json:"framing"`
	PartialEventBytes int    `json:"partial_event_bytes"`

	ViewAgeMs int  `json:"view_age_ms"`
	Unlisted  bool `json:"unlisted"`

	EndedBy       string `json:"ended_by"`
	WatchdogCause string `json:"watchdog_cause"`
	SilenceMs     int    `json:"silence_ms"`

	Arrivals        int    `json:"arrivals"`
	Unsent          int    `json:"unsent"`
	StopReason      string `json:"stop_reason"`
	LastEndpoint    string `json:"last_endpoint"`
	LastVersion     string `json:"last_version"`
	LastVerdict     string `json:"last_verdict"`
	LastError       string `json:"last_error"`
	BrokenEndpoint  string `json:"broken_endpoint"`
	BrokenVersion   string `json:"broken_version"`
	BrokenBy        string `json:"broken_by"`
	BrokenAfterMs   int    `json:"broken_after_ms"`
	BrokenCause     string `json:"broken_cause"`
	BrokenSilenceMs int    `json:"broken_silence_ms"`

	BrokenFraming           string `json:"broken_framing"`
	BrokenPartialEventBytes int    `json:"broken_partial_event_bytes"`
}

// explanation is the JSON output of the explain command.
type explanation struct {
	Request  string    `json:"request"`
	Attempts []logLine `json:"attempts"`
	Outcomes []logLine `json:"ends"`
	// Context contains the lines with one of [contextMessages] that [collectLines]
	// selects.
	Context []logLine `json:"around"`
}

// Run reads the logs and prints the lines of the request, then the context
// messages of the same instances.
func (c *explainCommand) Run(env *environment) error {
	lines, err := readLogs(env, c.Files)
	if err != nil {
		return err
	}
	found := collectLines(c.Request, lines)
	if len(found.Attempts)+len(found.Outcomes) == 0 {
		return eris.Errorf("no log line mentions request %s", c.Request)
	}
	return env.printResult(found, found.write)
}

// readLogs reads the given logs, or standard input if there are none.
func readLogs(env *environment, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(env.in)
	}
	var lines []logLine
	for _, name := range files {
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

// readLog reads the lines that contain a JSON object with a message, after an
// optional prefix. It skips all others.
func readLog(in io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	var lines []logLine
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal([]byte(text[start:]), &line) == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read a log")
}

// contextMessages are the messages that report a change in an instance's state or
// view of the fleet. They must match the messages that the instances log.
var contextMessages = []string{
	"endpoint listed", "endpoint unlisted", "endpoint removed", "configuration in force", "topic is not readable", "topic is readable again",
	"room of a service has changed", "roll-out phase agreed", "instance starts", "instance drains",
}

// collectLines selects the lines of the request. From the instances that logged
// them, it also selects the context messages that name an endpoint of the
// request's attempts or no endpoint at all.
func collectLines(request string, lines []logLine) explanation {
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
		found.Outcomes = append(found.Outcomes, line)
		endpoints = append(endpoints, line.LastEndpoint, line.BrokenEndpoint)
	}
	for _, line := range lines {
		if !slices.Contains(contextMessages, line.Message) || !slices.Contains(instances, line.Instance) {
			continue
		}
		if line.Endpoint == "" || slices.Contains(endpoints, line.Endpoint) {
			found.Context = append(found.Context, line)
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
		if a.ViewAgeMs > 0 {
			fmt.Fprintf(out, ", registry as of %d ms before", a.ViewAgeMs)
		}
		if a.Unlisted {
			out.WriteString(", endpoint unlisted")
		}
		writeFraming(out, a.Framing, a.PartialEventBytes)
		writeEnd(out, "ended by", a.EndedBy, a.WatchdogCause, a.SilenceMs)
		writeError(out, a.Error)
		out.WriteByte('\n')
	}
	for _, outcome := range e.Outcomes {
		fmt.Fprintf(out, "  %s %s: %s, status %d, under revision %.0f, %d ms old at its arrival", outcome.Time, outcome.Instance, outcome.Outcome, outcome.Status, outcome.Revision, outcome.AgeMs)
		if outcome.NotRun != nil {
			fmt.Fprintf(out, ", not run: %t", *outcome.NotRun)
		}
		fmt.Fprintf(out, ", took %d ms", outcome.TookMs)
		writeFraming(out, outcome.Framing, outcome.PartialEventBytes)
		out.WriteByte('\n')
		outcome.writeAdmission(out)
		outcome.writeStop(out)
	}
	if len(e.Context) > 0 {
		out.WriteString("around it\n")
	}
	for _, line := range e.Context {
		fmt.Fprintf(out, "  %s %s: %s %s %s %s", line.Time, line.Instance, line.Message, line.Endpoint, line.Reason, line.Error)
		if line.Phase != "" {
			fmt.Fprintf(out, "%s to %s: %s", line.Service, line.Target, line.Phase)
		}
		if line.Scarce != nil {
			fmt.Fprintf(out, "%s, scarce: %t", line.Service, *line.Scarce)
		}
		out.WriteByte('\n')
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// admissionTexts explains the field "admission" of a request's line.
var admissionTexts = map[string]string{
	"within share":     "admitted while the service's room was scarce, within the share of account %s",
	"returned on time": "admitted ahead of newcomers of account %s: it had been refused and returned when told",
	"place booked":     "refused without an attempt while room was scarce; the next try of account %s after the time told is admitted",
	"no place":         "refused without an attempt while room was scarce; no place for account %s before the client gives up",
}

// writeAdmission writes how the request was admitted or refused while room was scarce.
func (l *logLine) writeAdmission(out *strings.Builder) {
	text, ok := admissionTexts[l.Admission]
	if !ok {
		return
	}
	fmt.Fprintf(out, "    admission: "+text, l.Account)
	if l.RetryAfterMs > 0 {
		fmt.Fprintf(out, " (retry after %d ms)", l.RetryAfterMs)
	}
	out.WriteByte('\n')
}

// writeStop writes why no further attempt was made, with the last attempt and the
// last one that was broken.
func (l *logLine) writeStop(out *strings.Builder) {
	if l.StopReason == "" {
		return
	}
	fmt.Fprintf(out, "    no further attempt: %s, %d sent, %d unsent\n", l.StopReason, l.Arrivals, l.Unsent)
	if l.BrokenEndpoint != "" {
		fmt.Fprintf(out, "    last broken attempt: %s (%s), ended after %d ms", l.BrokenEndpoint, l.BrokenVersion, l.BrokenAfterMs)
		writeFraming(out, l.BrokenFraming, l.BrokenPartialEventBytes)
		writeEnd(out, "by", l.BrokenBy, l.BrokenCause, l.BrokenSilenceMs)
		out.WriteByte('\n')
	}
	if l.LastEndpoint != "" {
		fmt.Fprintf(out, "    last attempt: %s (%s), %s", l.LastEndpoint, l.LastVersion, l.LastVerdict)
		writeError(out, l.LastError)
		out.WriteByte('\n')
	}
}

func writeError(out *strings.Builder, text string) {
	if text != "" {
		fmt.Fprintf(out, "; %s", text)
	}
}

// writeFraming writes how the end of an answer was marked, and how many bytes followed
// the last complete event of a stream.
func writeFraming(out *strings.Builder, framing string, partialEventBytes int) {
	if framing == "" {
		return
	}
	fmt.Fprintf(out, ", framed by %s", framing)
	if partialEventBytes > 0 {
		fmt.Fprintf(out, ", %d bytes after the last event", partialEventBytes)
	}
}

// writeEnd writes who ended an attempt and, for the watchdog, why.
func writeEnd(out *strings.Builder, label, by, cause string, silenceMs int) {
	if by == "" {
		return
	}
	fmt.Fprintf(out, ", %s %s", label, by)
	if cause != "" {
		fmt.Fprintf(out, " (%s; silence of %d ms)", cause, silenceMs)
	}
}
