package cascade

import (
	"math"
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
	quality belief
}

// weighted returns the expected cost under the rule's weights.
func (o option) weighted(rule document.ClassRule) float64 {
	const nanosPerMilli = float64(time.Millisecond)
	return rule.CostWeight*o.cost + rule.LatencyWeight*float64(o.latency)/nanosPerMilli
}

func (o option) plan() Plan {
	return Plan{Steps: o.steps, Cost: o.cost, Quality: o.quality.mean}
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
func single(r Request, c Candidate, quality belief) option {
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
	var quality belief
	for i, share := range f.shares {
		answer := escalated[i]
		if i >= from {
			answer = f.qualities[i]
			accepted += share
		}
		quality.mean += share * answer.mean
		quality.variance += share * share * answer.variance
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

// choose returns the option of least weighted cost among those that finish in
// time and whose quality reaches the target with the confidence given, as a
// multiple of the standard deviation. Without any, it returns the one of the
// highest quality that finishes in time; without that, the fastest.
func choose(options []option, rule document.ClassRule, left time.Duration, target, sureness float64) option {
	best, closest, fastest := -1, -1, 0
	for i, o := range options {
		if o.longest < options[fastest].longest {
			fastest = i
		}
		if o.longest > left {
			continue
		}
		if closest < 0 || o.quality.mean > options[closest].quality.mean {
			closest = i
		}
		if o.quality.mean-sureness*math.Sqrt(o.quality.variance) < target {
			continue
		}
		if best < 0 || o.weighted(rule) < options[best].weighted(rule) {
			best = i
		}
	}
	switch {
	case best >= 0:
		return options[best]
	case closest >= 0:
		return options[closest]
	default:
		return options[fastest]
	}
}
