package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Levels of evidence at which the controller acts.
const (
	// falseStopChance bounds the chance that a run with a candidate no worse
	// than the incumbent is ever braked.
	falseStopChance = 0.005
	// suspicion is the evidence against the candidate, as a factor, above
	// which a run neither advances nor is extended.
	suspicion = 5
	// undecidedParts divides the budget into the parts by which the allowance
	// of an undecided run grows.
	undecidedParts = 4
	// advanceDoubt, completeDoubt and extendDoubt bound the probability that
	// the candidate exceeds the error rate that must not be tolerated.
	advanceDoubt  = 0.05
	completeDoubt = 0.02
	extendDoubt   = 0.25
	// advanceAnswers, completeAnswers and extendAnswers are the least numbers
	// of the candidate's answers at the step.
	advanceAnswers  = 40
	completeAnswers = 200
	extendAnswers   = 15
	// extendGrowth is the least factor by which an extension raises the
	// allowance, so that few entries carry a run of any size.
	extendGrowth = 1.25
)

// Intervals of proposals.
const (
	// RankDelay is the wait per rank before an instance proposes a verdict
	// that a lower rank would propose too.
	RankDelay = 2 * time.Second
	// QuietDelay is how long no answer must have come in before a run that is
	// undecided is given a little more exposure.
	QuietDelay = 15 * time.Second
	// RepeatDelay is the wait before a proposal without effect is repeated.
	RepeatDelay = 10 * time.Second
)

// Tick is what the controller decides by.
type Tick struct {
	// Statuses are the fold's present runs.
	Statuses []Status
	// Allotments are what the fold granted to this instance.
	Allotments map[Run]Allotment
	// Needs come from the instance's ledger.
	Needs map[Run]Need
	// Evidence returns the merged evidence at a run's present step.
	Evidence func(Run, int) Evidence
	// Rank is the instance's place among the live ones, from 0; Live is their
	// number, at least 1.
	Rank int
	Live int
}

// Effect is something that the caller does for the controller: an
// [AppendVerdict], an [AppendGrant] or a [StopLocally].
type Effect interface{ effect() }

// AppendVerdict asks to append a verdict to the control stream.
type AppendVerdict struct{ Verdict Verdict }

// AppendGrant asks to append a grant to the control stream.
type AppendGrant struct{ Grant Grant }

// StopLocally asks to call [Ledger.Stop] at once.
type StopLocally struct {
	Run    Run
	Reason string
}

func (AppendVerdict) effect() {}
func (AppendGrant) effect()   {}
func (StopLocally) effect()   {}

// Controller decides for one instance what its runs need. It is a pure state
// machine and not safe for concurrent use.
type Controller struct {
	instance platform.InstanceID
	runs     map[Run]*watch
}

// watch is the controller's memory of one run.
type watch struct {
	test *Test
	step int
	seen Evidence
	// latest is the evidence at the last look, and changed when it last grew.
	latest  Evidence
	changed time.Time
	// braked is set once the evidence has crossed the level.
	braked bool
	// due is the move that is due, since when, and when it was last proposed.
	due      Move
	dueSince time.Time
	proposed time.Time
	// asked is the sequence number of the grant asked for, and when.
	asked   uint64
	askedAt time.Time
}

// NewController returns the controller of one instance.
func NewController(instance platform.InstanceID) *Controller {
	return &Controller{instance: instance, runs: map[Run]*watch{}}
}

// Step looks at all runs once. The caller calls it about once a second, and
// performs the effects in order.
func (c *Controller) Step(now time.Time, tick Tick) []Effect {
	var effects []Effect
	present := make(map[Run]*watch, len(tick.Statuses))
	for _, status := range tick.Statuses {
		w, ok := c.runs[status.Run]
		if !ok {
			w = &watch{test: NewTest(), step: status.Step}
		}
		present[status.Run] = w
		effects = append(effects, c.stepRun(now, w, status, tick)...)
	}
	c.runs = present
	return effects
}

// LogE returns the logarithm of the evidence against a run's candidate.
func (c *Controller) LogE(run Run) (float64, bool) {
	w, ok := c.runs[run]
	if !ok {
		return 0, false
	}
	return w.test.LogE(), true
}

func (c *Controller) stepRun(now time.Time, w *watch, status Status, tick Tick) []Effect {
	if status.Braked {
		return nil
	}
	evidence := tick.Evidence(status.Run, status.Step)
	w.observe(now, status.Step, evidence)
	var effects []Effect
	verdict := w.decide(now, status, evidence)
	if verdict.Move == Brake && !w.braked {
		w.braked = true
		effects = append(effects, StopLocally{Run: status.Run, Reason: verdict.Reason})
	}
	if w.ready(now, verdict.Move, tick.Rank) {
		effects = append(effects, AppendVerdict{Verdict: verdict})
	}
	if grant, ok := c.ask(now, w, status, tick); ok {
		effects = append(effects, AppendGrant{Grant: grant})
	}
	return effects
}

// observe gives the test the answers that are new since the last look.
func (w *watch) observe(now time.Time, step int, evidence Evidence) {
	if step != w.step {
		w.step = step
		w.seen = Evidence{}
	}
	if evidence != w.latest {
		w.latest = evidence
		w.changed = now
	}
	block, ok := evidence.minus(w.seen)
	if !ok {
		return
	}
	// A block without answers of one version tells nothing. Its answers wait
	// for the other version's.
	if block.Candidate() == 0 || block.Incumbent() == 0 {
		return
	}
	w.seen = evidence
	w.test.Observe(block)
}

// decide returns the verdict that is due, or one without a move.
func (w *watch) decide(now time.Time, status Status, evidence Evidence) Verdict {
	verdict := Verdict{Run: status.Run, Step: status.Step, Evidence: evidence}
	verdict.Move, verdict.Reason = w.move(now, status, evidence)
	switch verdict.Move {
	case Advance, Complete:
		verdict.Allowance = justified(status, evidence)
	case Extend:
		verdict.Allowance = status.Allowed + max(1, status.Rollout.Budget/undecidedParts)
		if w.trusted(status, evidence) {
			verdict.Allowance = justified(status, evidence)
		}
	}
	return verdict
}

func (w *watch) move(now time.Time, status Status, evidence Evidence) (Move, string) {
	if w.braked || w.test.LogE() >= math.Log(1/falseStopChance) {
		return Brake, describe("candidate fails more often than the incumbent", evidence)
	}
	if status.Complete || !status.Exposing() {
		return "", ""
	}
	trusted := w.trusted(status, evidence)
	doubt := evidence.probabilityAbove(status.Rollout.MaxErrorRate)
	answers := evidence.Candidate()
	switch {
	case trusted && status.LastStep() && answers >= completeAnswers && doubt <= completeDoubt:
		return Complete, describe("candidate holds at the last step", evidence)
	case trusted && !status.LastStep() && answers >= advanceAnswers && doubt <= advanceDoubt:
		return Advance, describe("candidate holds at the step", evidence)
	case trusted && worthExtending(status, evidence):
		return Extend, describe("evidence allows more exposure", evidence)
	case w.stuck(now, status):
		return Extend, describe("undecided, more answers needed", evidence)
	default:
		return "", ""
	}
}

// trusted reports whether the evidence rather speaks for the candidate.
func (w *watch) trusted(status Status, evidence Evidence) bool {
	return w.test.LogE() < math.Log(suspicion) &&
		evidence.Candidate() >= min(extendAnswers, status.Rollout.Budget/2) &&
		evidence.probabilityAbove(status.Rollout.MaxErrorRate) <= extendDoubt
}

// stuck reports whether the allowance is spent and all answers seem to be in.
func (w *watch) stuck(now time.Time, status Status) bool {
	return status.Granted >= status.Allowed && now.Sub(w.changed) >= QuietDelay
}

// justified returns the allowance that good answers earn.
func justified(status Status, evidence Evidence) int {
	good := min(status.Proven+evidence.CandidateGood, status.Granted)
	return max(status.Allowed, status.Rollout.Budget+ExposurePerGood*good)
}

// worthExtending reports whether most of the allowance is granted and the good
// answers would raise it by enough.
func worthExtending(status Status, evidence Evidence) bool {
	const used = 0.5
	allowed := float64(status.Allowed)
	return float64(status.Granted) >= used*allowed &&
		float64(justified(status, evidence)) >= extendGrowth*allowed
}

// ready reports whether the move should be proposed now: by the lowest rank at
// once, by others if it is still due after the delay of their rank.
func (w *watch) ready(now time.Time, move Move, rank int) bool {
	if move != w.due {
		w.due = move
		w.dueSince = now
		w.proposed = time.Time{}
	}
	if move == "" || now.Sub(w.dueSince) < time.Duration(rank)*RankDelay {
		return false
	}
	if !w.proposed.IsZero() && now.Sub(w.proposed) < RepeatDelay {
		return false
	}
	w.proposed = now
	return true
}

// ask returns a request for a part of the allowance that is left, if the
// instance turned sessions away.
func (c *Controller) ask(now time.Time, w *watch, status Status, tick Tick) (Grant, bool) {
	need := tick.Needs[status.Run]
	left := status.Allowed - status.Granted
	if w.braked || status.Complete || !status.Exposing() || left <= 0 {
		return Grant{}, false
	}
	if need.Left > 0 || (need.Wanted == 0 && need.Left == 0) {
		return Grant{}, false
	}
	answered := tick.Allotments[status.Run].Sequence
	if w.asked > answered && now.Sub(w.askedAt) < RepeatDelay {
		return Grant{}, false
	}
	w.asked = answered + 1
	w.askedAt = now
	const instancesShare = 2
	part := left/(instancesShare*max(1, tick.Live)) + 1
	return Grant{
		Run:      status.Run,
		Instance: c.instance,
		Requests: min(left, part+max(0, -need.Left)),
		Sequence: w.asked,
	}, true
}

func describe(what string, e Evidence) string {
	return fmt.Sprintf("%s: %d of %d answers bad, incumbent %d of %d",
		what, e.CandidateBad, e.Candidate(), e.IncumbentBad, e.Incumbent())
}
