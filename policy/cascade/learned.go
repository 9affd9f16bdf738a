package cascade

import (
	"math"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

const (
	// balanceAnswers is the number of rated answers over which a class's
	// balance against its target is kept.
	balanceAnswers = 800
	// balanceGain turns a class's deficit into a higher target.
	balanceGain = 1
	// maxCorrection bounds the correction of a target, in either direction.
	maxCorrection = 0.02
	// learnFrom is the bin from which answers of a candidate are accepted that
	// is tried for its ratings.
	learnFrom = 4
	// maxCredit bounds the explored requests that can be saved up.
	maxCredit = 10
	// strongestPrior and weakestPrior are the assumed qualities of the last
	// and the first candidate of a class before any rating.
	strongestPrior = 0.95
	weakestPrior   = 0.5
)

// Learned is the planner that learns from ratings. It is not safe for
// concurrent use.
type Learned struct {
	instance platform.InstanceID
	classes  map[document.TaskClass]*classState
	totals   map[Cell]Count
	peers    map[platform.InstanceID]*peerState
	sequence uint64
	// credit counts the explored requests that the explore share has paid for.
	// Classes share it, so that those that are known leave it to the others.
	credit float64
}

type trackKey struct {
	ref       document.Ref
	escalated bool
}

type classState struct {
	tracks map[trackKey]*track
	// bad of the rated answers of late were bad, with forgetting.
	bad   float64
	rated float64
}

var _ Planner = (*Learned)(nil)

// NewLearned returns a planner that has seen nothing. The instance names it in
// exports.
func NewLearned(instance platform.InstanceID) *Learned {
	return &Learned{
		instance: instance,
		classes:  map[document.TaskClass]*classState{},
		totals:   map[Cell]Count{},
		peers:    map[platform.InstanceID]*peerState{},
	}
}

// Plan implements [Planner]. Without candidates the plan is empty.
func (l *Learned) Plan(random Random, rule document.ClassRule, exploreShare float64, request Request) Plan {
	if len(request.Candidates) == 0 {
		return Plan{}
	}
	class := l.class(request.Class)
	target := rule.QualityTarget + class.correction(rule.QualityTarget)
	best := choose(class.options(request, nil), rule, request.Left, target)
	l.credit = min(maxCredit, l.credit+exploreShare)
	tried, ok := class.tried(random, rule, exploreShare, request)
	if !ok || l.credit < 1 || sameSteps(tried.steps, best.steps) {
		return best.plan()
	}
	l.credit--
	plan := tried.plan()
	plan.Explored = true
	return plan
}

// tried returns a plan worth exploring, if there is one: always while too
// little is known of a candidate, and for a share of requests later.
func (c *classState) tried(random Random, rule document.ClassRule, share float64, request Request) (option, bool) {
	if tried, ok := c.unknown(rule.QualityTarget, request); ok {
		return tried, true
	}
	if random.Float64() >= share {
		return option{}, false
	}
	return choose(c.options(request, random), rule, request.Left, rule.QualityTarget), true
}

// ObserveResult implements [Planner].
func (l *Learned) ObserveResult(result Result) {
	cell := cellOf(result)
	count := Count{Seen: 1}
	if result.Failed {
		count.Bad = 1
	}
	l.count(cell, count)
}

// ObserveRating implements [Planner].
func (l *Learned) ObserveRating(rated Rated) {
	count := Count{Bad: 1}
	if rated.Good {
		count = Count{Good: 1}
	}
	l.count(cellOf(rated.Result), count)
}

// count takes own counts in, and records them for other instances.
func (l *Learned) count(cell Cell, count Count) {
	l.totals[cell] = l.totals[cell].plus(count)
	l.learn(cell, count)
}

// learn takes counts in, whoever they come from.
func (l *Learned) learn(cell Cell, count Count) {
	class := l.class(cell.Class)
	key := trackKey{ref: cell.Ref, escalated: cell.Escalated}
	known, ok := class.tracks[key]
	if !ok {
		known = &track{prior: weakestPrior}
		class.tracks[key] = known
	}
	known.see(cell.Bin, float64(count.Seen))
	if count.Good+count.Bad > 0 {
		known.rate(cell.Bin, float64(count.Good), float64(count.Bad))
		class.settle(float64(count.Good), float64(count.Bad))
		class.fade(key, float64(count.Good+count.Bad))
	}
}

func (l *Learned) class(name document.TaskClass) *classState {
	class, ok := l.classes[name]
	if !ok {
		class = &classState{tracks: map[trackKey]*track{}}
		l.classes[name] = class
	}
	return class
}

// settle adds rated answers to the class's balance.
func (c *classState) settle(good, bad float64) {
	c.bad += bad
	c.rated += good + bad
	if c.rated > balanceAnswers {
		keep := balanceAnswers / c.rated
		c.bad *= keep
		c.rated *= keep
	}
}

// fade slowly forgets the tracks that got no rating, so that they are tried
// again some day.
func (c *classState) fade(rated trackKey, ratings float64) {
	for key, known := range c.tracks {
		if key != rated {
			known.fade(math.Exp(-ratings / fadeAnswers))
		}
	}
}

// correction returns what the target is raised by after a deficit, or lowered
// by after a surplus.
func (c *classState) correction(target float64) float64 {
	if c.rated < balanceAnswers/2 {
		return 0
	}
	deficit := c.bad/c.rated - (1 - target)
	return min(maxCorrection, max(-maxCorrection, balanceGain*deficit))
}

// options returns all plans with their estimates, or, with a source of random
// numbers, with draws from the posterior.
func (c *classState) options(request Request, random Random) []option {
	draw := func(b belief) belief {
		if random == nil {
			return b
		}
		return b.drawn(random)
	}
	candidates := request.Candidates
	late := durationOf(candidates[len(candidates)-1], request) > request.Left
	options := make([]option, 0, len(candidates)*(1+Bins*len(candidates)/2))
	for i, candidate := range candidates {
		whole := c.track(candidate.Ref, i, len(candidates))
		last := i == len(candidates)-1
		if !last && !late && whole.ratings() < trustRatings {
			continue
		}
		options = append(options, single(request, candidate, draw(whole.whole()).mean))
		if last {
			continue
		}
		step := first{candidate: candidate, shares: whole.shares()}
		for bin := range Bins {
			step.qualities[bin] = draw(whole.quality(bin))
		}
		for j := i + 1; j < len(candidates); j++ {
			escalated := c.escalated(candidates[j].Ref, j, len(candidates), draw)
			for from := 1; from < Bins; from++ {
				options = append(options, pair(request, step, from, candidates[j], escalated))
			}
		}
	}
	return options
}

// unknown returns a plan that tries a candidate of which too little is known,
// with the last candidate behind it.
func (c *classState) unknown(target float64, request Request) (option, bool) {
	last := len(request.Candidates) - 1
	for i, candidate := range request.Candidates[:last] {
		known := c.track(candidate.Ref, i, last+1)
		if !known.promising(target) {
			continue
		}
		step := first{candidate: candidate, shares: known.shares()}
		for bin := range Bins {
			step.qualities[bin] = known.quality(bin)
		}
		strong := request.Candidates[last]
		escalated := c.escalated(strong.Ref, last, last+1, func(b belief) belief { return b })
		tried := pair(request, step, learnFrom, strong, escalated)
		return tried, tried.longest <= request.Left
	}
	return option{}, false
}

// escalated returns the beliefs on a candidate's answers after an escalation,
// by the bin of the confidence before it.
func (c *classState) escalated(ref document.Ref, place, of int, draw func(belief) belief) [Bins]belief {
	easy := c.track(ref, place, of).whole().mean
	known, ok := c.tracks[trackKey{ref: ref, escalated: true}]
	if !ok {
		known = &track{}
	}
	var beliefs [Bins]belief
	for bin := range Bins {
		beliefs[bin] = draw(known.after(bin, easy))
	}
	return beliefs
}

// track returns what is known of a candidate, or what is assumed of it by its
// place among the candidates.
func (c *classState) track(ref document.Ref, place, of int) *track {
	if known, ok := c.tracks[trackKey{ref: ref}]; ok && known.ratings() > 0 {
		return known
	}
	if place == of-1 {
		return &track{prior: strongestPrior}
	}
	return &track{prior: weakestPrior}
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
