package experiment

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Report is the outcome of one experiment.
type Report struct {
	Experiment string `json:"experiment"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
	// Series are drawn over time, of the first seed; empty for most experiments.
	Series []Series `json:"series,omitempty"`
}

// Series is one metric over the seconds of one run.
type Series struct {
	Case string `json:"case"`
	// Metric names the values with their unit, and Decision what decided.
	Metric   string    `json:"metric"`
	Decision string    `json:"decision"`
	Values   []float64 `json:"values"`
}

// Row is one figure over all seeds.
type Row struct {
	// Name is the case measured, and the decision used.
	Name string `json:"name"`
	// Metric names the figure with its unit.
	Metric string  `json:"metric"`
	Target Target  `json:"target"`
	Mean   float64 `json:"mean"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	// Met tells whether the target holds. It is true without a target.
	Met bool `json:"met"`
}

// Bound tells on which side of its value a target lies.
type Bound string

// Bounds of a target.
const (
	// NoTarget rows inform only.
	NoTarget Bound = ""
	// MeanAtMost and MeanAtLeast targets bound the mean over the seeds.
	MeanAtMost  Bound = "mean_at_most"
	MeanAtLeast Bound = "mean_at_least"
	// EachAtMost and EachAtLeast targets bound the figure of every seed.
	EachAtMost  Bound = "each_at_most"
	EachAtLeast Bound = "each_at_least"
)

// Target is what a figure must reach.
type Target struct {
	Bound Bound   `json:"bound,omitempty"`
	Value float64 `json:"value,omitempty"`
}

// String renders the target for people.
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

// Print writes the report as a table.
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
