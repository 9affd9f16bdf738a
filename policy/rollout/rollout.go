// Package rollout brings candidate versions into use step by step, stops bad
// ones early, and keeps the exposure of the whole fleet inside a budget.
package rollout

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Kinds of entries of the control stream that the fold understands.
const (
	// KindVerdict is the kind of a [Verdict].
	KindVerdict platform.Kind = "rollout.verdict"
	// KindGrant is the kind of a [Grant].
	KindGrant platform.Kind = "rollout.grant"
)

// Run identifies one run of a roll-out: its name and the revision of the
// roll-outs section that started it. An operator who restarts a roll-out
// starts a new run.
type Run struct {
	ID       document.RolloutID `json:"id"`
	Revision uint64             `json:"revision"`
}

// Move is what a verdict does to a run.
type Move string

// Moves of a run.
const (
	// Advance goes on to the next step.
	Advance Move = "advance"
	// Brake gives the candidate to no new session, for good.
	Brake Move = "brake"
	// Complete ends the run with the candidate proven.
	Complete Move = "complete"
)

// Verdict moves a run. It counts only if the run is still at the step named.
type Verdict struct {
	Run  Run  `json:"run"`
	Step int  `json:"step"`
	Move Move `json:"move"`
	// Evidence is what the writer had seen, for the audit.
	Evidence Evidence `json:"evidence"`
	Reason   string   `json:"reason"`
}

// Grant allots a part of the run's exposure budget to one instance. It counts
// only while the sum of the grants stays inside the budget of the step.
type Grant struct {
	Run      Run                 `json:"run"`
	Instance platform.InstanceID `json:"instance"`
	Requests int                 `json:"requests"`
}

// Evidence counts answers of the candidate and of the incumbent.
type Evidence struct {
	CandidateGood int `json:"candidate_good"`
	CandidateBad  int `json:"candidate_bad"`
	IncumbentGood int `json:"incumbent_good"`
	IncumbentBad  int `json:"incumbent_bad"`
}

// Status is the state of one run in the fold.
type Status struct {
	Run      Run     `json:"run"`
	Step     int     `json:"step"`
	Braked   bool    `json:"braked"`
	Complete bool    `json:"complete"`
	Granted  int     `json:"granted"`
	Reason   string  `json:"reason,omitempty"`
	Share    float64 `json:"share"`
}
