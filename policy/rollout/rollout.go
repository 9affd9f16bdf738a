package rollout

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/session"
)

// Kinds of control stream entries that carry verdicts and grants.
const (
	// KindVerdict is the kind of a [Verdict].
	KindVerdict platform.Kind = "rollout.verdict"
	// KindGrant is the kind of a [Grant].
	KindGrant platform.Kind = "rollout.grant"
)

// ExposurePerGood is the number of requests by which one good answer of the
// candidate raises the run's allowance.
const ExposurePerGood = 4

// MaxShare is the largest share of new sessions that use the candidate until
// the run is complete. The remaining sessions use the incumbent, for comparison.
const MaxShare = 0.9

// Run identifies one run of a roll-out by the name of the roll-out and the
// revision of the roll-outs section that started the run. Restarting a
// roll-out creates a new run.
type Run struct {
	ID       document.RolloutID `json:"id"`
	Revision uint64             `json:"revision"`
}

// String returns "id@revision".
func (r Run) String() string { return fmt.Sprintf("%s@%d", r.ID, r.Revision) }

// Action is the state transition that a verdict requests for a run.
type Action string

// Actions of a run.
const (
	// Advance moves the run to the next step.
	Advance Action = "advance"
	// Extend raises the allowance at the current step.
	Extend Action = "extend"
	// Halt halts the run: no new session uses the candidate. It is final.
	Halt Action = "brake"
	// Complete ends the run and gives all new sessions the candidate.
	Complete Action = "complete"
)

// Verdict requests an action on a run. The fold applies actions other than [Halt]
// only while the run is at Step, not halted and not complete. It applies a [Halt]
// also after the run has advanced past Step or is complete.
type Verdict struct {
	Run    Run    `json:"run"`
	Step   int    `json:"step"`
	Action Action `json:"move"`
	// Evidence is the merged evidence of the step, as the writer knew it.
	Evidence Evidence `json:"evidence"`
	// Allowance is the allowance that the writer proposes. The fold limits it
	// to the budget plus [ExposurePerGood] for each good answer of the
	// candidate.
	Allowance int    `json:"allowance,omitempty"`
	Reason    string `json:"reason"`
}

// Grant allots a part of a run's allowance to one instance. The fold reduces a
// grant that exceeds the remaining allowance to what remains.
type Grant struct {
	Run      Run                 `json:"run"`
	Instance platform.InstanceID `json:"instance"`
	Requests int                 `json:"requests"`
	// Sequence is the number of this grant among the instance's grants of the
	// run, from 1. The fold drops a grant whose number is not above all earlier
	// ones.
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

// Plus returns the sum of the counts of e and other.
func (e Evidence) Plus(other Evidence) Evidence {
	return Evidence{
		CandidateGood: e.CandidateGood + other.CandidateGood,
		CandidateBad:  e.CandidateBad + other.CandidateBad,
		IncumbentGood: e.IncumbentGood + other.IncumbentGood,
		IncumbentBad:  e.IncumbentBad + other.IncumbentBad,
	}
}

// minus subtracts the counts of earlier evidence and reports whether no
// difference is negative.
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

// Status is the state of one run.
type Status struct {
	Run      Run    `json:"run"`
	Step     int    `json:"step"`
	Halted   bool   `json:"braked"`
	Complete bool   `json:"complete"`
	Granted  int    `json:"granted"`
	Reason   string `json:"reason,omitempty"`
	// Share is the current share of new sessions that use the candidate.
	Share float64 `json:"share"`
	// Allowance is the run's allowance: Granted never exceeds it.
	Allowance int `json:"allowed"`
	// PriorGood counts the candidate's good answers at earlier steps, according to
	// the evidence of accepted verdicts.
	PriorGood int `json:"proven"`
	// Rollout is the definition of the run.
	Rollout document.Rollout `json:"rollout"`
}

// IsExposing reports whether new sessions may use the candidate.
func (s Status) IsExposing() bool { return s.Share > 0 }

// IsLastStep reports whether the run is at its last step.
func (s Status) IsLastStep() bool { return s.Step >= len(s.Rollout.Steps)-1 }

// Bucket hashes a session of a run to [0, 1), equally on every instance. A
// session is inside a share if its bucket is below the share, so it is also
// inside every larger share.
func Bucket(run Run, id session.ID) float64 {
	const mantissaBits = 53
	hash := xxhash.Sum64String(run.String() + "\x00" + string(id))
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}
