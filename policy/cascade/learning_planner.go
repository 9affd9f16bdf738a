package cascade

import (
	"math"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

const (
	// balanceWindow is the number of rated answers over which a class's quality is
	// compared with its target.
	balanceWindow = 800
	// balanceGain is the increase of the target per unit of deficit.
	balanceGain = 1
	// maxCorrection bounds the correction of a target in both directions.
	maxCorrection = 0.02
	// learningAcceptBin is the lowest bin whose answers are accepted from a
	// candidate that is tried to gather ratings.
	learningAcceptBin = 4
	// maxExploreCredit bounds the exploreCredit, in requests, that accumulates while
	// no request is explored.
	maxExploreCredit = 10
	// strongestPrior is the assumed quality of a class's last candidate without
	// ratings, weakestPrior that of all others.
	strongestPrior = 0.95
	weakestPrior   = 0.5
)

// LearningPlanner is a [Planner] that learns from ratings. It is not safe for
// concurrent use.
type LearningPlanner struct {
	instance platform.InstanceID
	classes  map[document.TaskClass]*classState
	totals   map[Cell]Count
	peers    map[platform.InstanceID]*peerState
	sequence uint64
	// exploreCredit is the number of requests that may be explored; each request
	// adds the explore share. All classes draw on it, so that classes with enough
	// ratings leave their share to the others.
	exploreCredit float64
}

type versionKey struct {
	ref       document.Ref
	escalated bool
}

type classState struct {
	versions map[versionKey]*versionStats
	// bad and rated are the decayed counts of the answers rated bad and of all
	// rated answers.
	bad   float64
	rated float64
}

var _ Planner = (*LearningPlanner)(nil)

// NewLearningPlanner returns a planner without observations. The instance
// identifies the planner in exports.
func NewLearningPlanner(instance platform.InstanceID) *LearningPlanner {
	return &LearningPlanner{
		instance: instance,
		classes:  map[document.TaskClass]*classState{},
		totals:   map[Cell]Count{},
		peers:    map[platform.InstanceID]*peerState{},
	}
}

// Plan implements [Planner]. Without candidates the plan is empty.
func (l *LearningPlanner) Plan(random Random, rule document.ClassRule, exploreShare float64, request Request) Plan {
	if len(request.Candidates) == 0 {
		return Plan{}
	}
	class := l.class(request.Class)
	target := rule.QualityTarget + class.targetCorrection(rule.QualityTarget)
	best := choose(class.planEstimates(request, nil), rule, request.Remaining, target)
	l.exploreCredit = min(maxExploreCredit, l.exploreCredit+exploreShare)
	exploration, ok := class.explorationPlan(random, rule, exploreShare, request)
	if !ok || l.exploreCredit < 1 || sameSteps(exploration.steps, best.steps) {
		return best.plan()
	}
	l.exploreCredit--
	plan := exploration.plan()
	plan.Explored = true
	return plan
}

// explorationPlan returns a plan to explore, if any. If a candidate needs ratings,
// the plan tries it; otherwise a share of requests gets a plan chosen by draws from
// the posteriors.
func (c *classState) explorationPlan(random Random, rule document.ClassRule, share float64, request Request) (planEstimate, bool) {
	if plan, ok := c.learningPlan(rule.QualityTarget, request); ok {
		return plan, true
	}
	if random.Float64() >= share {
		return planEstimate{}, false
	}
	return choose(c.planEstimates(request, random), rule, request.Remaining, rule.QualityTarget), true
}

// ObserveResult implements [Planner].
func (l *LearningPlanner) ObserveResult(result Result) {
	cell := cellOf(result)
	count := Count{Seen: 1}
	if result.Failed {
		count.Bad = 1
	}
	l.recordLocal(cell, count)
}

// ObserveRating implements [Planner].
func (l *LearningPlanner) ObserveRating(rated RatedResult) {
	count := Count{Bad: 1}
	if rated.Good {
		count = Count{Good: 1}
	}
	l.recordLocal(cellOf(rated.Result), count)
}

// recordLocal adds local counts and records them for export.
func (l *LearningPlanner) recordLocal(cell Cell, count Count) {
	l.totals[cell] = l.totals[cell].plus(count)
	l.apply(cell, count)
}

// apply adds local or merged counts to the estimates.
func (l *LearningPlanner) apply(cell Cell, count Count) {
	class := l.class(cell.Class)
	key := versionKey{ref: cell.Ref, escalated: cell.Escalated}
	stats, ok := class.versions[key]
	if !ok {
		stats = &versionStats{prior: weakestPrior}
		class.versions[key] = stats
	}
	stats.countAnswers(cell.Bin, float64(count.Seen))
	if count.Good+count.Bad > 0 {
		stats.addRatings(cell.Bin, float64(count.Good), float64(count.Bad))
		class.updateBalance(float64(count.Good), float64(count.Bad))
		class.decayOthers(key, float64(count.Good+count.Bad))
	}
}

func (l *LearningPlanner) class(name document.TaskClass) *classState {
	class, ok := l.classes[name]
	if !ok {
		class = &classState{versions: map[versionKey]*versionStats{}}
		l.classes[name] = class
	}
	return class
}

// updateBalance adds rated answers to the counts that are compared with the
// class's target.
func (c *classState) updateBalance(good, bad float64) {
	c.bad += bad
	c.rated += good + bad
	if c.rated > balanceWindow {
		keep := balanceWindow / c.rated
		c.bad *= keep
		c.rated *= keep
	}
}

// decayOthers decays the ratings of all versions but the rated one, so that
// versions that get no ratings are eventually tried again.
func (c *classState) decayOthers(rated versionKey, ratings float64) {
	for key, stats := range c.versions {
		if key != rated {
			stats.decayRatings(math.Exp(-ratings / idleMemoryAnswers))
		}
	}
}

// targetCorrection returns the amount to add to the target: positive after a
// deficit, negative after a surplus, 0 with too few ratings.
func (c *classState) targetCorrection(target float64) float64 {
	if c.rated < balanceWindow/2 {
		return 0
	}
	deficit := c.bad/c.rated - (1 - target)
	return min(maxCorrection, max(-maxCorrection, balanceGain*deficit))
}

// planEstimates returns the possible plans with the means of their estimates, or,
// if random is not nil, with draws from the posteriors. A candidate with fewer than
// minRatings ratings is the first step of a plan only if it is the last candidate or
// if the last candidate is too slow.
func (c *classState) planEstimates(request Request, random Random) []planEstimate {
	draw := func(p posterior) posterior {
		if random == nil {
			return p
		}
		return p.sample(random)
	}
	candidates := request.Candidates
	lastTooSlow := answerTime(candidates[len(candidates)-1], request) > request.Remaining
	plans := make([]planEstimate, 0, len(candidates)*(1+Bins*len(candidates)/2))
	for i, candidate := range candidates {
		stats := c.statsOrPrior(candidate.Ref, i, len(candidates))
		last := i == len(candidates)-1
		if !last && !lastTooSlow && stats.ratings() < minRatings {
			continue
		}
		plans = append(plans, singleStep(request, candidate, draw(stats.overallQuality()).mean))
		if last {
			continue
		}
		step := firstStep{candidate: candidate, shares: stats.shares()}
		for bin := range Bins {
			step.qualities[bin] = draw(stats.binQuality(bin))
		}
		for j := i + 1; j < len(candidates); j++ {
			escalated := c.escalatedQualities(candidates[j].Ref, j, len(candidates), draw)
			for acceptBin := 1; acceptBin < Bins; acceptBin++ {
				plans = append(plans, twoSteps(request, step, acceptBin, candidates[j], escalated))
			}
		}
	}
	return plans
}

// learningPlan returns a plan that tries the first candidate that needs ratings and
// escalates to the last candidate, if both steps fit the remaining time.
func (c *classState) learningPlan(target float64, request Request) (planEstimate, bool) {
	last := len(request.Candidates) - 1
	for i, candidate := range request.Candidates[:last] {
		stats := c.statsOrPrior(candidate.Ref, i, last+1)
		if !stats.needsRatings(target) {
			continue
		}
		step := firstStep{candidate: candidate, shares: stats.shares()}
		for bin := range Bins {
			step.qualities[bin] = stats.binQuality(bin)
		}
		strong := request.Candidates[last]
		escalated := c.escalatedQualities(strong.Ref, last, last+1, func(p posterior) posterior { return p })
		plan := twoSteps(request, step, learningAcceptBin, strong, escalated)
		return plan, plan.maxLatency <= request.Remaining
	}
	return planEstimate{}, false
}

// escalatedQualities returns the posteriors of a candidate's quality after an
// escalation, by the bin of the rejected answer's confidence.
func (c *classState) escalatedQualities(ref document.Ref, index, count int, draw func(posterior) posterior) [Bins]posterior {
	direct := c.statsOrPrior(ref, index, count).overallQuality().mean
	stats, ok := c.versions[versionKey{ref: ref, escalated: true}]
	if !ok {
		stats = &versionStats{}
	}
	var qualities [Bins]posterior
	for bin := range Bins {
		qualities[bin] = draw(stats.escalatedQuality(bin, direct))
	}
	return qualities
}

// statsOrPrior returns the stats of a candidate, or, without ratings, stats with the
// prior of its position among the candidates.
func (c *classState) statsOrPrior(ref document.Ref, index, count int) *versionStats {
	if stats, ok := c.versions[versionKey{ref: ref}]; ok && stats.ratings() > 0 {
		return stats
	}
	if index == count-1 {
		return &versionStats{prior: strongestPrior}
	}
	return &versionStats{prior: weakestPrior}
}

func sameSteps(a, b []Step) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
