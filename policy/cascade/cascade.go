package cascade

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Candidate is a model version that the request may use: allowed, pinned to
// the session and serving.
type Candidate struct {
	Ref document.Ref
	// PromptCost and AnswerCost are prices in micro-units per token.
	PromptCost float64
	AnswerCost float64
	// FirstToken and PerToken predict the version's speed now, with the wait
	// for a slot included in FirstToken.
	FirstToken time.Duration
	PerToken   time.Duration
}

// Request is what the planner needs to know of a request.
type Request struct {
	Class        document.TaskClass
	PromptTokens int
	AnswerTokens int // expected
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Candidates is ordered as in the class's rule, cheapest first.
	Candidates []Candidate
}

// Step is one dispatch of a plan.
type Step struct {
	Ref document.Ref
	// Accept is the least confidence, in [0, 1], at which the step's answer
	// is given to the caller. It is 0 on the last step, whose answer always is.
	Accept float64
}

// Plan is a sequence of steps; the next is tried when an answer falls short.
type Plan struct {
	Steps []Step
	// Explored marks a plan chosen to learn rather than for its cost.
	Explored bool
	// Cost is the expected cost in micro-units, Quality the expected share of
	// good answers.
	Cost    float64
	Quality float64
}

// Result is one answer of one step, as the request path saw it.
type Result struct {
	Class document.TaskClass
	Ref   document.Ref
	// Confidence is the engine's mean token probability, in [0, 1].
	Confidence   float64
	PromptTokens int
	AnswerTokens int
	Failed       bool
	// Escalated tells that an earlier step's answer had fallen short, with the
	// confidence Before, in [0, 1]: the lower, the harder the request.
	Escalated bool
	Before    float64
}

// Rated is a rating that arrived for an answer given earlier.
type Rated struct {
	Result
	// Good tells whether the score reached what the class calls good.
	Good bool
}

// Random is the source of random numbers in [0, 1), given by the caller.
type Random interface {
	Float64() float64
}

// Planner chooses plans. Implementations are not safe for concurrent use.
type Planner interface {
	Plan(random Random, rule document.ClassRule, exploreShare float64, request Request) Plan
	ObserveResult(result Result)
	ObserveRating(rated Rated)
}
