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
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
	ticksPerHalf  = 5
	microsPerMS   = 1000
)

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is what a run saw.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Sent counts tries; each other count is of tries with that result.
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	Defective int `json:"defective"`
	// Skipped counts arrivals beyond the generator's own bound.
	Skipped int `json:"skipped"`
	// Problems counts refusals and defects by type.
	Problems map[string]int `json:"problems"`
	// FirstToken is of streams; Whole, Read and Booking are whole durations.
	FirstToken Quantiles `json:"first_token"`
	Stream     Quantiles `json:"stream"`
	Whole      Quantiles `json:"whole"`
	Read       Quantiles `json:"read"`
	Booking    Quantiles `json:"booking"`

	Observations []observation.Observation `json:"-"`
	histograms   map[string]*hdrhistogram.Histogram
}

const firstTokenName = "first_token"

// recorder gathers observations from many goroutines.
type recorder struct {
	mu           *sync.Mutex
	observations *[]observation.Observation
	histograms   map[string]*hdrhistogram.Histogram
}

func newRecorder() recorder {
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, name := range []string{firstTokenName, string(observation.Stream), string(observation.Whole), string(observation.Read), string(observation.Booking)} {
		histograms[name] = hdrhistogram.New(lowestMicros, highestMicros, digits)
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

// record adds a duration; one beyond the histogram's range counts as the
// highest.
func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	micros := min(max(duration.Microseconds(), lowestMicros), highestMicros)
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
		Whole:        quantiles(r.histograms[string(observation.Whole)]),
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
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / microsPerMS
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   float64(histogram.Max()) / microsPerMS,
	}
}

// WriteHistograms writes the percentile distribution of each latency, in
// milliseconds.
func (r *Report) WriteHistograms(w io.Writer) error {
	for _, name := range []string{firstTokenName, string(observation.Stream), string(observation.Whole), string(observation.Read), string(observation.Booking)} {
		if _, err := fmt.Fprintf(w, "# %s (ms)\n", name); err != nil {
			return eris.Wrap(err, "load: write histogram")
		}
		if _, err := r.histograms[name].PercentilesPrint(w, ticksPerHalf, microsPerMS); err != nil {
			return eris.Wrap(err, "load: write histogram")
		}
	}
	return nil
}

// WriteObservations writes every observation as JSON, one a line.
func (r *Report) WriteObservations(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, o := range r.Observations {
		if err := encoder.Encode(o); err != nil {
			return eris.Wrap(err, "load: write observation")
		}
	}
	return nil
}

// Write prints the report for people.
func (r *Report) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "sent %d in %.1f s: answered %d, refused not run %d, unknown %d, defective %d, skipped %d\n",
		r.Sent, r.Seconds, r.Answered, r.NotRun, r.Unknown, r.Defective, r.Skipped)
	fmt.Fprintf(out, "ms\tcount\tp50\tp95\tp99\tmax\t\n")
	for _, line := range []struct {
		name string
		q    Quantiles
	}{
		{"first token", r.FirstToken},
		{"stream", r.Stream},
		{"whole", r.Whole},
		{"read", r.Read},
		{"booking", r.Booking},
	} {
		fmt.Fprintf(out, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", line.name, line.q.Count, line.q.P50, line.q.P95, line.q.P99, line.q.Max)
	}
	for _, problem := range slices.Sorted(maps.Keys(r.Problems)) {
		fmt.Fprintf(out, "%s: %d\n", problem, r.Problems[problem])
	}
	return eris.Wrap(out.Flush(), "load: write report")
}
