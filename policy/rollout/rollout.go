package rollout

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
)

// Kinds of entries of the control stream that the fold understands.
const (
	// KindVerdict is the kind of a [Verdict].
	KindVerdict platform.Kind = "rollout.verdict"
	// KindGrant is the kind of a [Grant].
	KindGrant platform.Kind = "rollout.grant"
)

// ExposurePerGood is the number of requests by which one good answer of the
// candidate raises the run's allowance.
const ExposurePerGood = 4

// MaxShare bounds the share of new sessions of a run that is not complete, so
// that some sessions remain with the incumbent for comparison.
const MaxShare = 0.9

// Run identifies one run of a roll-out: its name and the revision of the
// roll-outs section that started it. An operator who restarts a roll-out
// starts a new run.
type Run struct {
	ID       document.RolloutID `json:"id"`
	Revision uint64             `json:"revision"`
}

// String returns "id@revision".
func (r Run) String() string { return fmt.Sprintf("%s@%d", r.ID, r.Revision) }

// Move is what a verdict does to a run.
type Move string

// Moves of a run.
const (
	// Advance goes on to the next step.
	Advance Move = "advance"
	// Extend stays at the step and raises the allowance.
	Extend Move = "extend"
	// Brake gives the candidate to no new session, for good.
	Brake Move = "brake"
	// Complete ends the run with the candidate proven.
	Complete Move = "complete"
)

// Verdict moves a run. It counts only if the run is still at the step named;
// a Brake also counts if the run has gone further since, and after Complete.
type Verdict struct {
	Run  Run  `json:"run"`
	Step int  `json:"step"`
	Move Move `json:"move"`
	// Evidence is what the writer had seen at the step.
	Evidence Evidence `json:"evidence"`
	// Allowance is the allowance that the writer holds to be justified. The
	// fold never goes beyond the budget plus [ExposurePerGood] for each good
	// answer of the candidate.
	Allowance int    `json:"allowance,omitempty"`
	Reason    string `json:"reason"`
}

// Grant allots a part of the run's exposure budget to one instance. It counts
// only while the sum of the grants stays inside the allowance; the grant that
// would exceed it is cut down to what is left.
type Grant struct {
	Run      Run                 `json:"run"`
	Instance platform.InstanceID `json:"instance"`
	Requests int                 `json:"requests"`
	// Sequence numbers the instance's grants of the run, from 1. A grant
	// counts only if its number is above all before it.
	Sequence uint64 `json:"sequence"`
}

// Evidence counts answers of the candidate and of the incumbent.
type Evidence struct {
	CandidateGood int `json:"candidate_good"`
	CandidateBad  int `json:"candidate_bad"`
	IncumbentGood int `json:"incumbent_good"`
	IncumbentBad  int `json:"incumbent_bad"`
}

// Candidate returns the number of answers of the candidate.
func (e Evidence) Candidate() int { return e.CandidateGood + e.CandidateBad }

// Incumbent returns the number of answers of the incumbent.
func (e Evidence) Incumbent() int { return e.IncumbentGood + e.IncumbentBad }

// Plus adds the counts of two evidences.
func (e Evidence) Plus(other Evidence) Evidence {
	return Evidence{
		CandidateGood: e.CandidateGood + other.CandidateGood,
		CandidateBad:  e.CandidateBad + other.CandidateBad,
		IncumbentGood: e.IncumbentGood + other.IncumbentGood,
		IncumbentBad:  e.IncumbentBad + other.IncumbentBad,
	}
}

// minus subtracts the counts of an earlier evidence, and reports whether none
// of the differences is negative.
func (e Evidence) minus(earlier Evidence) (Evidence, bool) {
	d := Evidence{
		CandidateGood: e.CandidateGood - earlier.CandidateGood,
		CandidateBad:  e.CandidateBad - earlier.CandidateBad,
		IncumbentGood: e.IncumbentGood - earlier.IncumbentGood,
		IncumbentBad:  e.IncumbentBad - earlier.IncumbentBad,
	}
	return d, d.valid()
}

func (e Evidence) valid() bool {
	return min(e.CandidateGood, e.CandidateBad, e.IncumbentGood, e.IncumbentBad) >= 0
}

// Status is the state of one run in the fold.
type Status struct {
	Run      Run    `json:"run"`
	Step     int    `json:"step"`
	Braked   bool   `json:"braked"`
	Complete bool   `json:"complete"`
	Granted  int    `json:"granted"`
	Reason   string `json:"reason,omitempty"`
	// Share is the share of new sessions that meet the candidate now.
	Share float64 `json:"share"`
	// Allowed is the run's allowance: Granted never exceeds it.
	Allowed int `json:"allowed"`
	// Proven counts the candidate's good answers of earlier steps in accepted
	// evidence.
	Proven int `json:"proven"`
	// Rollout is the definition of the run.
	Rollout document.Rollout `json:"rollout"`
}

// Exposing reports whether new sessions may meet the candidate.
func (s Status) Exposing() bool { return s.Share > 0 }

// LastStep reports whether the run is at its last step.
func (s Status) LastStep() bool { return s.Step >= len(s.Rollout.Steps)-1 }

// Bucket places a session in [0, 1) for the run, alike on every instance. The
// session is inside a share if its bucket is below the share, so a session
// inside a share is inside every larger one.
func Bucket(run Run, id session.ID) float64 {
	const mantissaBits = 53
	hash := xxhash.Sum64String(run.String() + "\x00" + string(id))
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}
