package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

const (
	minLatencyMicros     = 1
	maxLatencyMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits    = 3
	ticksPerHalfDistance = 5
	microsPerMillisecond = 1000
)

// Quantiles summarizes a latency distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Sent counts all attempts. Answered, NotRun, Unknown and Defective count
	// the attempts with that result.
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	Defective int `json:"defective"`
	// Skipped counts the open loop's operations that were not sent, because
	// too many were in flight.
	Skipped int `json:"skipped"`
	// Problems counts attempts by the problem of their observation.
	Problems map[string]int `json:"problems"`
	// FirstToken is the time to the first token of streamed answers. The
	// others are durations up to the end of the answer, by kind of request.
	FirstToken   Quantiles `json:"first_token"`
	Stream       Quantiles `json:"stream"`
	NonStreaming Quantiles `json:"whole"`
	Read         Quantiles `json:"read"`
	Booking      Quantiles `json:"booking"`

	Observations []observation.Observation `json:"-"`
	histograms   map[string]*hdrhistogram.Histogram
}

const firstTokenName = "first_token"

// recorder collects observations. It is safe for concurrent use.
type recorder struct {
	mu           *sync.Mutex
	observations *[]observation.Observation
	histograms   map[string]*hdrhistogram.Histogram
}

func newRecorder() recorder {
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, name := range []string{firstTokenName, string(observation.Stream), string(observation.NonStreaming), string(observation.Read), string(observation.Booking)} {
		histograms[name] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	}
	return recorder{mu: &sync.Mutex{}, observations: &[]observation.Observation{}, histograms: histograms}
}

func (r recorder) add(o observation.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*r.observations = append(*r.observations, o)
	if o.Result != observation.Answered {
		return
	}
	record(r.histograms[string(o.Kind)], o.Took)
	if o.Kind == observation.Stream {
		record(r.histograms[firstTokenName], o.FirstToken)
	}
}

// record adds a duration to the histogram. Durations outside its range count as
// the nearest end of the range.
func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	micros := min(max(duration.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = histogram.RecordValue(micros)
}

func (r recorder) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Sent:         len(*r.observations),
		Problems:     map[string]int{},
		FirstToken:   quantiles(r.histograms[firstTokenName]),
		Stream:       quantiles(r.histograms[string(observation.Stream)]),
		NonStreaming: quantiles(r.histograms[string(observation.NonStreaming)]),
		Read:         quantiles(r.histograms[string(observation.Read)]),
		Booking:      quantiles(r.histograms[string(observation.Booking)]),
		Observations: *r.observations,
		histograms:   r.histograms,
	}
	for _, o := range report.Observations {
		report.count(o)
	}
	return report
}

func (r *Report) count(o observation.Observation) {
	switch o.Result {
	case observation.Answered:
		r.Answered++
	case observation.NotRun:
		r.NotRun++
	case observation.Unknown:
		r.Unknown++
	default:
		r.Defective++
	}
	if o.Problem != "" {
		r.Problems[o.Problem]++
	}
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	millis := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / microsPerMillisecond
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   millis(50),
		P95:   millis(95),
		P99:   millis(99),
		Max:   float64(histogram.Max()) / microsPerMillisecond,
	}
}

// WriteHistograms writes the percentile distribution of each latency, in
// milliseconds.
func (r *Report) WriteHistograms(w io.Writer) error {
	for _, name := range []string{firstTokenName, string(observation.Stream), string(observation.NonStreaming), string(observation.Read), string(observation.Booking)} {
		if _, err := fmt.Fprintf(w, "# %s (ms)\n", name); err != nil {
			return eris.Wrap(err, "load: write histogram")
		}
		if _, err := r.histograms[name].PercentilesPrint(w, ticksPerHalfDistance, microsPerMillisecond); err != nil {
			return eris.Wrap(err, "load: write histogram")
		}
	}
	return nil
}

// WriteObservations writes every observation as one line of JSON.
func (r *Report) WriteObservations(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, o := range r.Observations {
		if err := encoder.Encode(o); err != nil {
			return eris.Wrap(err, "load: write observation")
		}
	}
	return nil
}

// Write writes the report as human-readable text.
func (r *Report) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "sent %d in %.1f s: answered %d, refused not run %d, unknown %d, defective %d, skipped %d\n",
		r.Sent, r.Seconds, r.Answered, r.NotRun, r.Unknown, r.Defective, r.Skipped)
	fmt.Fprintf(out, "ms\tcount\tp50\tp95\tp99\tmax\t\n")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{
		{"first token", r.FirstToken},
		{"stream", r.Stream},
		{"whole", r.NonStreaming},
		{"read", r.Read},
		{"booking", r.Booking},
	} {
		fmt.Fprintf(out, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.name, row.q.Count, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
	}
	for _, problem := range slices.Sorted(maps.Keys(r.Problems)) {
		fmt.Fprintf(out, "%s: %d\n", problem, r.Problems[problem])
	}
	return eris.Wrap(out.Flush(), "load: write report")
}
