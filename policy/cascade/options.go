package cascade

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// option is a plan with its estimates.
type option struct {
	steps   []Step
	cost    float64
	latency time.Duration
	// longest is the time that the plan takes if all its steps are tried.
	longest time.Duration
	quality float64
}

// weighted returns the expected cost under the rule's weights.
func (o option) weighted(rule document.ClassRule) float64 {
	const nanosPerMilli = float64(time.Millisecond)
	return rule.CostWeight*o.cost + rule.LatencyWeight*float64(o.latency)/nanosPerMilli
}

func (o option) plan() Plan {
	return Plan{Steps: o.steps, Cost: o.cost, Quality: o.quality}
}

// priceOf returns the price of one answer, in micro-units.
func priceOf(c Candidate, r Request) float64 {
	return float64(r.PromptTokens)*c.PromptCost + float64(r.AnswerTokens)*c.AnswerCost
}

// durationOf returns the time of one answer.
func durationOf(c Candidate, r Request) time.Duration {
	return c.FirstToken + time.Duration(r.AnswerTokens)*c.PerToken
}

// single returns the option of one candidate alone.
func single(r Request, c Candidate, quality float64) option {
	return option{
		steps:   []Step{{Ref: c.Ref}},
		cost:    priceOf(c, r),
		latency: durationOf(c, r),
		longest: durationOf(c, r),
		quality: quality,
	}
}

// first describes the first step of a pair by bins.
type first struct {
	candidate Candidate
	shares    [Bins]float64
	qualities [Bins]belief
}

// pair returns the option of a first step accepted from a bin on, and a second
// step behind it.
func pair(r Request, f first, from int, second Candidate, escalated [Bins]belief) option {
	accepted := 0.0
	quality := 0.0
	for i, share := range f.shares {
		answer := escalated[i]
		if i >= from {
			answer = f.qualities[i]
			accepted += share
		}
		quality += share * answer.mean
	}
	rest := max(0, 1-accepted)
	firstTime, secondTime := durationOf(f.candidate, r), durationOf(second, r)
	return option{
		steps:   []Step{{Ref: f.candidate.Ref, Accept: floorOf(from)}, {Ref: second.Ref}},
		cost:    priceOf(f.candidate, r) + rest*priceOf(second, r),
		latency: firstTime + time.Duration(rest*float64(secondTime)),
		longest: firstTime + secondTime,
		quality: quality,
	}
}

// nearBest is the loss of quality that is accepted for a lower cost where no
// option reaches the target.
const nearBest = 0.01

// choose returns the option of least weighted cost among those that finish in
// time and whose quality reaches the target. If none reaches it, those near
// the highest quality count; if none finishes in time, the fastest is chosen.
func choose(options []option, rule document.ClassRule, left time.Duration, target float64) option {
	best := cheapest(options, rule, func(o option) bool {
		return o.longest <= left && o.quality >= target
	})
	if best >= 0 {
		return options[best]
	}
	highest := 0.0
	for _, o := range options {
		if o.longest <= left {
			highest = max(highest, o.quality)
		}
	}
	best = cheapest(options, rule, func(o option) bool {
		return o.longest <= left && o.quality >= highest-nearBest
	})
	if best >= 0 {
		return options[best]
	}
	return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.longest, b.longest) })
}

// cheapest returns the index of the option of least weighted cost among those
// that pass, or -1.
func cheapest(options []option, rule document.ClassRule, pass func(option) bool) int {
	best := -1
	for i, o := range options {
		if pass(o) && (best < 0 || o.weighted(rule) < options[best].weighted(rule)) {
			best = i
		}
	}
	return best
}
