// Package finding describes the defects of an input. A check does not stop at the
// first finding: it collects all of them, each with its place, so that they can
// be reported together.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one defect of an input.
type Finding struct {
	// Place is a JSON pointer (RFC 6901) into the input, or "file:line".
	Place string `json:"place"`
	// Problem describes the defect.
	Problem string `json:"problem"`
	// Advice describes how to fix the defect. It may be empty.
	Advice string `json:"advice,omitempty"`
}

// String renders the finding on one line.
func (f Finding) String() string {
	if f.Advice == "" {
		return fmt.Sprintf("%s: %s", f.Place, f.Problem)
	}
	return fmt.Sprintf("%s: %s (%s)", f.Place, f.Problem, f.Advice)
}

// List collects findings. The zero value is ready to use.
type List []Finding

// Add appends a finding.
func (l *List) Add(place, problem, advice string) {
	*l = append(*l, Finding{Place: place, Problem: problem, Advice: advice})
}

// Sort orders the findings by place, then by problem, so that equal inputs
// give equal reports.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		if l[i].Place != l[j].Place {
			return l[i].Place < l[j].Place
		}
		return l[i].Problem < l[j].Problem
	})
}

// Err returns nil for an empty list and the list as an error otherwise.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error implements error with one line per finding.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
