package tool

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// delaysCommand reports from logs where the time of late and failed requests went.
type delaysCommand struct {
	Files []string `arg:"" optional:"" help:"Logs of the instances; standard input if none is given." type:"existingfile"`
	From  string   `help:"Skip lines before this time, e.g. 2026-10-05T22:33:08Z."`
	To    string   `help:"Skip lines from this time on."`
}

// Help implements kong.HelpProvider.
func (delaysCommand) Help() string {
	return `Reads the JSON lines that instances write and prints, for each route, how many requests were answered in
time, late, or not at all, and the mean time that the late and failed ones spent:

  here        before the first attempt, and between attempts
  not begun   at an endpoint, beyond the usual time to the first event, or without any event
  reading     the usual time to the first event for a prompt of that length
  discarded   on answers of low confidence, before a larger model was asked
  streaming   from the first event to the end

Example:
  wigeonusher delays entry-*.log --from 2026-10-05T22:33:08Z --to 2026-10-05T22:33:13Z`
}

// requestDelays is what the logs say of the time of one request, in milliseconds.
type requestDelays struct {
	route                                            string
	late, failed                                     bool
	attempts                                         int
	here, notBegun, reading, discarded, streamingSum float64
}

// routeDelays sums the requests of one route. The sums are those of the late and failed ones.
type routeDelays struct {
	Route     string  `json:"route"`
	Requests  int     `json:"requests"`
	Late      int     `json:"late"`
	Failed    int     `json:"failed"`
	Attempts  float64 `json:"attempts"`
	Here      float64 `json:"here_ms"`
	NotBegun  float64 `json:"not_begun_ms"`
	Reading   float64 `json:"reading_ms"`
	Discarded float64 `json:"discarded_ms"`
	Streaming float64 `json:"streaming_ms"`
}

// delayReport is the JSON output of the command.
type delayReport struct {
	Routes []routeDelays `json:"routes"`
}

// Run reads the logs and prints the table.
func (c *delaysCommand) Run(env *environment) error {
	lines, err := readLogs(env, c.Files)
	if err != nil {
		return err
	}
	report := sumDelays(c.selectLines(lines))
	return env.printResult(report, report.write)
}

// selectLines returns the lines in the chosen time. Times of one length in UTC compare as text.
func (c *delaysCommand) selectLines(lines []logLine) []logLine {
	return slices.DeleteFunc(lines, func(line logLine) bool {
		return line.Time < c.From || c.To != "" && line.Time >= c.To
	})
}

func sumDelays(lines []logLine) delayReport {
	attempts := make(map[string][]logLine)
	for _, line := range lines {
		if line.Message == "attempt" {
			attempts[line.Request] = append(attempts[line.Request], line)
		}
	}
	routes := make(map[string]*routeDelays)
	for _, line := range lines {
		if line.Message != "request" || line.Outcome == "" {
			continue
		}
		sum := routes[line.Route]
		if sum == nil {
			sum = &routeDelays{Route: line.Route}
			routes[line.Route] = sum
		}
		sum.add(newRequestDelays(line, attempts[line.Request]))
	}
	var report delayReport
	for _, sum := range routes {
		report.Routes = append(report.Routes, sum.mean())
	}
	slices.SortFunc(report.Routes, func(a, b routeDelays) int {
		return cmp.Or(cmp.Compare(b.Late+b.Failed, a.Late+a.Failed), cmp.Compare(a.Route, b.Route))
	})
	return report
}

const (
	verdictLowConfidence = "low confidence"
	outcomeAnswered      = "answered"
)

// newRequestDelays splits the time of a request among its attempts.
func newRequestDelays(outcome logLine, attempts []logLine) requestDelays {
	first := outcome.FirstAfterMs
	if first == 0 {
		first = outcome.TookMs
	}
	delays := requestDelays{
		route:    outcome.Route,
		failed:   outcome.Outcome != outcomeAnswered,
		late:     outcome.ObjectiveMs > 0 && first > outcome.ObjectiveMs,
		attempts: len(attempts),
	}
	slices.SortFunc(attempts, func(a, b logLine) int { return cmp.Compare(a.AfterMs, b.AfterMs) })
	reached := 0
	for _, attempt := range attempts {
		delays.here += float64(max(0, attempt.AfterMs-reached))
		reached = attempt.AfterMs + attempt.TookMs
		delays.addAttempt(attempt)
	}
	delays.here += float64(max(0, outcome.TookMs-reached))
	return delays
}

func (d *requestDelays) addAttempt(attempt logLine) {
	begun := attempt.FirstMs
	if begun == 0 {
		begun = attempt.TookMs
	}
	reading := min(begun, attempt.UsualFirstMs)
	if attempt.Verdict == verdictLowConfidence {
		d.discarded += float64(reading)
		d.notBegun += float64(begun - reading)
		return
	}
	if attempt.FirstMs > 0 {
		d.reading += float64(reading)
		begun -= reading
	}
	d.notBegun += float64(begun)
	d.streamingSum += float64(max(0, attempt.TookMs-attempt.FirstMs)) * min(1, float64(attempt.FirstMs))
}

func (r *routeDelays) add(d requestDelays) {
	r.Requests++
	switch {
	case d.failed:
		r.Failed++
	case d.late:
		r.Late++
	default:
		return
	}
	r.Attempts += float64(d.attempts)
	r.Here += d.here
	r.NotBegun += d.notBegun
	r.Reading += d.reading
	r.Discarded += d.discarded
	r.Streaming += d.streamingSum
}

// mean returns the sums divided by the number of late and failed requests.
func (r *routeDelays) mean() routeDelays {
	result, count := *r, float64(max(1, r.Late+r.Failed))
	for _, sum := range []*float64{&result.Attempts, &result.Here, &result.NotBegun, &result.Reading, &result.Discarded, &result.Streaming} {
		*sum /= count
	}
	return result
}

func (r delayReport) write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "route\trequests\tlate\tfailed\tattempts\there ms\tnot begun ms\treading ms\tdiscarded ms\tstreaming ms\t")
	for _, route := range r.Routes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", route.Route, route.Requests, route.Late, route.Failed,
			route.Attempts, route.Here, route.NotBegun, route.Reading, route.Discarded, route.Streaming)
	}
	return table.Flush()
}
