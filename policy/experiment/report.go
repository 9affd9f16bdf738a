package experiment

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Report is the result of one experiment.
type Report struct {
	Experiment string `json:"experiment"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
	// Series are the metrics over time of the first seed. Most experiments have
	// none.
	Series []Series `json:"series,omitempty"`
}

// Series holds the values of one metric for each second of one run.
type Series struct {
	Case string `json:"case"`
	// Metric names the values and their unit, and Decision the decision measured.
	Metric   string    `json:"metric"`
	Decision string    `json:"decision"`
	Values   []float64 `json:"values"`
}

// Row summarises one figure over all seeds.
type Row struct {
	// Name names the case and the decision measured.
	Name string `json:"name"`
	// Metric names the figure and its unit.
	Metric string  `json:"metric"`
	Target Target  `json:"target"`
	Mean   float64 `json:"mean"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	// Met is true if the figure meets the target, or there is no target.
	Met bool `json:"met"`
}

// Bound is the kind of comparison between a figure and its target.
type Bound string

// Bounds of a target.
const (
	// NoTarget marks rows without a target.
	NoTarget Bound = ""
	// MeanAtMost and MeanAtLeast limit the mean over the seeds.
	MeanAtMost  Bound = "mean_at_most"
	MeanAtLeast Bound = "mean_at_least"
	// EachAtMost and EachAtLeast limit the figure of every seed.
	EachAtMost  Bound = "each_at_most"
	EachAtLeast Bound = "each_at_least"
)

// Target is the value that a figure must not exceed or fall below.
type Target struct {
	Bound Bound   `json:"bound,omitempty"`
	Value float64 `json:"value,omitempty"`
}

// String returns the target as it appears in printed reports.
func (t Target) String() string {
	switch t.Bound {
	case MeanAtMost:
		return fmt.Sprintf("mean ≤ %g", t.Value)
	case MeanAtLeast:
		return fmt.Sprintf("mean ≥ %g", t.Value)
	case EachAtMost:
		return fmt.Sprintf("each ≤ %g", t.Value)
	case EachAtLeast:
		return fmt.Sprintf("each ≥ %g", t.Value)
	default:
		return "-"
	}
}

// newRow summarises the figures of all seeds.
func newRow(name, metric string, target Target, figures []float64) Row {
	row := Row{Name: name, Metric: metric, Target: target, Min: math.Inf(1), Max: math.Inf(-1)}
	for _, figure := range figures {
		row.Mean += figure / float64(len(figures))
		row.Min = min(row.Min, figure)
		row.Max = max(row.Max, figure)
	}
	row.Met = row.meets()
	return row
}

func (r Row) meets() bool {
	switch r.Target.Bound {
	case MeanAtMost:
		return r.Mean <= r.Target.Value
	case MeanAtLeast:
		return r.Mean >= r.Target.Value
	case EachAtMost:
		return r.Max <= r.Target.Value
	case EachAtLeast:
		return r.Min >= r.Target.Value
	default:
		return true
	}
}

// Print writes the rows of the report as a table. It omits the series.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, %d seeds\n", r.Experiment, r.Seeds)
	fmt.Fprintln(table, "case\tmetric\tmean\tmin\tmax\ttarget\tmet")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g\t%.4g\t%s\t%s\n",
			row.Name, row.Metric, row.Mean, row.Min, row.Max, row.Target, row.verdict())
	}
	return table.Flush()
}

func (r Row) verdict() string {
	switch {
	case r.Target.Bound == NoTarget:
		return "-"
	case r.Met:
		return "yes"
	default:
		return "NO"
	}
}
