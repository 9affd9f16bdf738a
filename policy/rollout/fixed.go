package rollout

import (
	"math"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Decider evaluates the runs of a tick and returns the effects to perform. It is
// implemented by [*Controller] and [*FixedSample].
type Decider interface {
	Step(now time.Time, tick Tick) []Effect
}

// FixedSample is a baseline for comparison with [Controller]. A fixed share of
// sessions uses the candidate until a fixed number of the candidate's answers has
// arrived; then one fixed-sample test decides. Each instance requests its part of the
// allowance once, at the start, and the allowance is never extended.
type FixedSample struct {
	instance platform.InstanceID
	// answers is the sample size of the candidate, and level the one-sided
	// significance level of the test.
	answers   int
	level     float64
	decided   map[Run]bool
	requested map[Run]bool
}

// NewFixedSample returns a fixed-sample decider. answers is the candidate's
// sample size, and level the probability in (0, 1) of halting a candidate that
// is no worse than the incumbent.
func NewFixedSample(instance platform.InstanceID, answers int, level float64) *FixedSample {
	return &FixedSample{
		instance:  instance,
		answers:   answers,
		level:     level,
		decided:   map[Run]bool{},
		requested: map[Run]bool{},
	}
}

// Step implements [Decider].
func (f *FixedSample) Step(_ time.Time, tick Tick) []Effect {
	var effects []Effect
	for _, status := range tick.Statuses {
		if !f.requested[status.Run] {
			f.requested[status.Run] = true
			requests := status.Allowance / max(1, tick.Live)
			grant := Grant{Run: status.Run, Instance: f.instance, Requests: requests, Sequence: 1}
			effects = append(effects, AppendGrant{Grant: grant})
		}
		evidence := tick.Evidence(status.Run, status.Step)
		if f.decided[status.Run] || evidence.Candidate() < f.answers {
			continue
		}
		f.decided[status.Run] = true
		verdict := Verdict{Run: status.Run, Step: status.Step, Action: f.action(status, evidence), Evidence: evidence}
		effects = append(effects, AppendVerdict{Verdict: verdict})
	}
	return effects
}

func (f *FixedSample) action(status Status, evidence Evidence) Action {
	if evidence.pooledZ() >= math.Sqrt2*math.Erfinv(1-2*f.level) {
		return Halt
	}
	if status.IsLastStep() {
		return Complete
	}
	return Advance
}

// pooledZ returns the pooled z statistic of the difference between the
// candidate's and the incumbent's failure rates.
func (e Evidence) pooledZ() float64 {
	candidates, incumbents := float64(e.Candidate()), float64(e.Incumbent())
	pooled := float64(e.CandidateBad+e.IncumbentBad) / (candidates + incumbents)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/candidates + 1/incumbents))
	if deviation == 0 || math.IsNaN(deviation) {
		return 0
	}
	return (float64(e.CandidateBad)/candidates - float64(e.IncumbentBad)/incumbents) / deviation
}
