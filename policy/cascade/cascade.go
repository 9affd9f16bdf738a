package cascade

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Candidate is a model version that the request may use: the account is allowed
// to use it, the session's pin permits it, and it is serving.
type Candidate struct {
	Ref document.Ref
	// PromptCost and AnswerCost are prices in micro-units per token.
	PromptCost float64
	AnswerCost float64
	// FirstToken and PerToken predict the version's current speed. FirstToken
	// includes the wait for a slot.
	FirstToken time.Duration
	PerToken   time.Duration
}

// Request describes a request to the planner.
type Request struct {
	Class        document.TaskClass
	PromptTokens int
	AnswerTokens int // expected
	// Remaining is the time remaining until the caller's deadline.
	Remaining time.Duration
	// Candidates is ordered as in the class's rule, cheapest first.
	Candidates []Candidate
}

// Step is one dispatch of a plan.
type Step struct {
	Ref document.Ref
	// Accept is the minimum confidence, in [0, 1], at which the step's answer is
	// returned to the caller. It is 0 on the last step, whose answer is always
	// returned.
	Accept float64
}

// Plan is a sequence of steps. The next step runs if an answer's confidence is
// below the step's Accept.
type Plan struct {
	Steps []Step
	// Explored marks a plan that was chosen to gather ratings, not for its cost.
	Explored bool
	// Cost is the expected cost in micro-units, Quality the expected share of
	// good answers.
	Cost    float64
	Quality float64
}

// Result is the answer of one step, as the request path observed it.
type Result struct {
	Class document.TaskClass
	Ref   document.Ref
	// Confidence is the engine's mean token probability, in [0, 1].
	Confidence   float64
	PromptTokens int
	AnswerTokens int
	Failed       bool
	// Escalated is set if an earlier step's answer was rejected.
	// PreviousConfidence is the confidence of that answer, in [0, 1]; a low one
	// indicates a hard request.
	Escalated          bool
	PreviousConfidence float64
}

// RatedResult is a rating of an earlier answer.
type RatedResult struct {
	Result
	// Good reports whether the rating's score reached the class's threshold.
	Good bool
}

// Random is a source of random numbers in [0, 1).
type Random interface {
	Float64() float64
}

// Planner chooses plans. Implementations are not safe for concurrent use.
type Planner interface {
	Plan(random Random, rule document.ClassRule, exploreShare float64, request Request) Plan
	ObserveResult(result Result)
	ObserveRating(rated RatedResult)
}
