package check

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Invariant is the name of an invariant of the router.
type Invariant string

// Invariants that [Evaluate] checks. The rows of a table are in the order of the
// checks.
const (
	AnswersAreComplete     Invariant = "each answer is whole and the caller's own"
	NotRunIsTrue           Invariant = "what was refused as not run did not run"
	BilledOnce             Invariant = "each answered request is billed exactly once"
	BilledAtMostOnce       Invariant = "no request is billed twice or without having run"
	BookedAtMostOnce       Invariant = "no booking runs twice"
	BookedIfAnswered       Invariant = "no confirmed booking is lost"
	SessionsKeepVersions   Invariant = "a session keeps its versions"
	WithdrawnVersionsIdle  Invariant = "a withdrawn version gets no new work"
	OnlyAllowed            Invariant = "accounts use only what they may"
	LeavingEndpointsIdle   Invariant = "a leaving endpoint gets no new work after seconds"
	ExposureBounded        Invariant = "a bad version meets few requests"
	CrashesBounded         Invariant = "a crash-causing request costs two endpoints at most"
	RefusalsStateOutcome   Invariant = "each refusal says whether the request ran"
	ConfigInForceInTime    Invariant = "an accepted configuration is in force everywhere within seconds"
	ConfigNeverReverts     Invariant = "an accepted configuration never reverts"
	PlannedStopsCutNothing Invariant = "a planned stop cuts off no request"
	QualityMet             Invariant = "the answers of each task class meet its quality target"
)

// Row is the result of the check of one invariant.
type Row struct {
	Invariant Invariant `json:"invariant"`
	// Checked counts the cases in which the invariant could have been violated,
	// and Broken those in which it was.
	Checked int  `json:"checked"`
	Broken  int  `json:"broken"`
	Passed  bool `json:"held"`
	// Examples describes up to [MaxExamples] violations.
	Examples []string `json:"examples,omitempty"`
}

// MaxExamples is the maximum number of examples in a row.
const MaxExamples = 5

// Table is the result of the evaluation of a run.
type Table struct {
	Passed  bool    `json:"held"`
	Figures Figures `json:"figures"`
	Rows    []*Row  `json:"invariants"`
}

// Figures are counts, costs and latencies of a run.
type Figures struct {
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`
	NotRun    int `json:"refused_not_run"`
	Unknown   int `json:"unknown"`
	Defective int `json:"defective"`

	Bills        int     `json:"bills"`
	BillsPerChat float64 `json:"bills_per_answered_chat"`
	DoubleRuns   int     `json:"double_runs"`
	// Exposed counts requests that ran on a bad version, and ExposedAnswers
	// those answered by one.
	Exposed        int `json:"exposed_to_bad_version"`
	ExposedAnswers int `json:"answered_by_bad_version"`
	// MeanCost is the billed cost per answered chat request, in micro-units of
	// money, and StrongCost the cost if the strong version had answered it.
	MeanCost   float64 `json:"cost_micro_per_request"`
	StrongCost float64 `json:"cost_micro_always_strong"`
	// Quality is by task class.
	Quality map[string]Quality `json:"quality_by_class"`

	// Runs counts the runs of engines by "model@version".
	Runs map[string]int `json:"runs_by_version"`

	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
}

// Quality is the quality of the answers of one task class.
type Quality struct {
	Answers int     `json:"answers"`
	Good    float64 `json:"good"` // share, in [0, 1]
	Target  float64 `json:"target"`
}

// row returns the invariant's row, and adds it if it is missing.
func (t *Table) row(invariant Invariant) *Row {
	for _, row := range t.Rows {
		if row.Invariant == invariant {
			return row
		}
	}
	added := &Row{Invariant: invariant, Passed: true}
	t.Rows = append(t.Rows, added)
	return added
}

// addViolation records a violation of the invariant.
func (r *Row) addViolation(format string, args ...any) {
	r.Broken++
	r.Passed = false
	if len(r.Examples) < MaxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Broken returns the invariants that were violated.
func (t *Table) Broken() []Invariant {
	var broken []Invariant
	for _, row := range t.Rows {
		if !row.Passed {
			broken = append(broken, row.Invariant)
		}
	}
	return broken
}

// Write writes the table as text.
func (t *Table) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	f := t.Figures
	fmt.Fprintf(out, "requests sent\t%d\n", f.Sent)
	fmt.Fprintf(out, "answered\t%d\n", f.Answered)
	fmt.Fprintf(out, "refused, not run\t%d\n", f.NotRun)
	fmt.Fprintf(out, "outcome unknown\t%d\n", f.Unknown)
	fmt.Fprintf(out, "answers mixed up or cut\t%d\n", f.Defective)
	fmt.Fprintf(out, "bills\t%d\n", f.Bills)
	fmt.Fprintf(out, "bills per answered chat\t%.3f\n", f.BillsPerChat)
	fmt.Fprintf(out, "double runs\t%d\n", f.DoubleRuns)
	fmt.Fprintf(out, "requests exposed to a bad version\t%d (answered by it: %d)\n", f.Exposed, f.ExposedAnswers)
	fmt.Fprintf(out, "cost per request, micro-units\t%.1f (always strong: %.1f)\n", f.MeanCost, f.StrongCost)
	for _, class := range sortedKeys(f.Quality) {
		quality := f.Quality[class]
		fmt.Fprintf(out, "good answers, %s\t%.3f of %d (target %.3f)\n", class, quality.Good, quality.Answers, quality.Target)
	}
	for _, ref := range sortedKeys(f.Runs) {
		fmt.Fprintf(out, "runs of %s\t%d\n", ref, f.Runs[ref])
	}
	fmt.Fprintf(out, "first token p50 / p95 / p99, ms\t%.1f / %.1f / %.1f\n", f.FirstTokenP50, f.FirstTokenP95, f.FirstTokenP99)
	fmt.Fprintf(out, "\ninvariant\tchecked\tbroken\n")
	for _, row := range t.Rows {
		mark := ""
		if !row.Passed {
			mark = "  BROKEN"
		}
		fmt.Fprintf(out, "%s\t%d\t%d%s\n", row.Invariant, row.Checked, row.Broken, mark)
	}
	if err := out.Flush(); err != nil {
		return eris.Wrap(err, "check: write table")
	}
	for _, row := range t.Rows {
		for _, example := range row.Examples {
			if _, err := fmt.Fprintf(w, "  broken: %s: %s\n", row.Invariant, example); err != nil {
				return eris.Wrap(err, "check: write table")
			}
		}
	}
	return nil
}
