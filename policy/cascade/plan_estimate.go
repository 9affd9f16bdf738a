package cascade

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// planEstimate is a plan with its expected cost in micro-units, latency and
// quality.
type planEstimate struct {
	steps   []Step
	cost    float64
	latency time.Duration
	// maxLatency is the expected latency if all steps run.
	maxLatency time.Duration
	quality    float64
}

// weightedCost returns the sum of cost in micro-units and latency in milliseconds,
// weighted by the rule.
func (p planEstimate) weightedCost(rule document.ClassRule) float64 {
	const nanosPerMilli = float64(time.Millisecond)
	return rule.CostWeight*p.cost + rule.LatencyWeight*float64(p.latency)/nanosPerMilli
}

func (p planEstimate) plan() Plan {
	return Plan{Steps: p.steps, Cost: p.cost, Quality: p.quality}
}

// priceOf returns the price of one answer, in micro-units.
func priceOf(c Candidate, r Request) float64 {
	return float64(r.PromptTokens)*c.PromptCost + float64(r.AnswerTokens)*c.AnswerCost
}

// answerTime returns the expected time of one answer.
func answerTime(c Candidate, r Request) time.Duration {
	return c.FirstToken + time.Duration(r.AnswerTokens)*c.PerToken
}

// singleStep returns the estimate of a plan with one candidate.
func singleStep(r Request, c Candidate, quality float64) planEstimate {
	return planEstimate{
		steps:      []Step{{Ref: c.Ref}},
		cost:       priceOf(c, r),
		latency:    answerTime(c, r),
		maxLatency: answerTime(c, r),
		quality:    quality,
	}
}

// firstStep describes the first of two steps: the share of answers and the quality
// of each bin.
type firstStep struct {
	candidate Candidate
	shares    [Bins]float64
	qualities [Bins]posterior
}

// twoSteps returns the estimate of a plan that accepts the first step's answer if
// its bin is at least acceptBin, and runs a second step otherwise. escalated holds
// the second step's quality by the bin of the first answer.
func twoSteps(r Request, first firstStep, acceptBin int, second Candidate, escalated [Bins]posterior) planEstimate {
	accepted := 0.0
	quality := 0.0
	for i, share := range first.shares {
		answer := escalated[i]
		if i >= acceptBin {
			answer = first.qualities[i]
			accepted += share
		}
		quality += share * answer.mean
	}
	escalationShare := max(0, 1-accepted)
	firstTime, secondTime := answerTime(first.candidate, r), answerTime(second, r)
	return planEstimate{
		steps:      []Step{{Ref: first.candidate.Ref, Accept: binFloor(acceptBin)}, {Ref: second.Ref}},
		cost:       priceOf(first.candidate, r) + escalationShare*priceOf(second, r),
		latency:    firstTime + time.Duration(escalationShare*float64(secondTime)),
		maxLatency: firstTime + secondTime,
		quality:    quality,
	}
}

// qualityTolerance is the loss of quality accepted for a lower cost if no plan
// reaches the target.
const qualityTolerance = 0.01

// choose returns the plan with the lowest weighted cost among those that finish
// within the remaining time and reach the target. If none does both, it chooses
// among the plans that finish in time and are within qualityTolerance of the highest
// quality. If none finishes in time, it returns the fastest plan.
func choose(plans []planEstimate, rule document.ClassRule, remaining time.Duration, target float64) planEstimate {
	best := cheapest(plans, rule, func(p planEstimate) bool {
		return p.maxLatency <= remaining && p.quality >= target
	})
	if best >= 0 {
		return plans[best]
	}
	highest := 0.0
	for _, p := range plans {
		if p.maxLatency <= remaining {
			highest = max(highest, p.quality)
		}
	}
	best = cheapest(plans, rule, func(p planEstimate) bool {
		return p.maxLatency <= remaining && p.quality >= highest-qualityTolerance
	})
	if best >= 0 {
		return plans[best]
	}
	return slices.MinFunc(plans, func(a, b planEstimate) int { return cmp.Compare(a.maxLatency, b.maxLatency) })
}

// cheapest returns the index of the plan with the lowest weighted cost among those
// for which pass returns true, or -1 if there is none.
func cheapest(plans []planEstimate, rule document.ClassRule, pass func(planEstimate) bool) int {
	best := -1
	for i, p := range plans {
		if pass(p) && (best < 0 || p.weightedCost(rule) < plans[best].weightedCost(rule)) {
			best = i
		}
	}
	return best
}
