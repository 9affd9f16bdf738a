package cascade

import "github.com/wigeonusher/wigeonusher/policy/document"

// nonLearning implements the observing methods of a planner that does not learn.
type nonLearning struct{}

// ObserveResult implements [Planner].
func (nonLearning) ObserveResult(Result) {}

// ObserveRating implements [Planner].
func (nonLearning) ObserveRating(RatedResult) {}

// AlwaysStrong plans every request with the last, strongest candidate.
type AlwaysStrong struct{ nonLearning }

// Plan implements [Planner].
func (AlwaysStrong) Plan(_ Random, _ document.ClassRule, _ float64, request Request) Plan {
	if len(request.Candidates) == 0 {
		return Plan{}
	}
	strong := request.Candidates[len(request.Candidates)-1]
	return singleStep(request, strong, 0).plan()
}

// AlwaysCheap plans every request with the first, cheapest candidate.
type AlwaysCheap struct{ nonLearning }

// Plan implements [Planner].
func (AlwaysCheap) Plan(_ Random, _ document.ClassRule, _ float64, request Request) Plan {
	if len(request.Candidates) == 0 {
		return Plan{}
	}
	return singleStep(request, request.Candidates[0], 0).plan()
}

// AlwaysCheapThenStrong tries the first candidate and accepts its answer if the
// confidence is at least Accept; otherwise the last candidate answers.
type AlwaysCheapThenStrong struct {
	nonLearning
	// Accept is the least confidence accepted, in [0, 1].
	Accept float64
}

// Plan implements [Planner].
func (a AlwaysCheapThenStrong) Plan(_ Random, _ document.ClassRule, _ float64, request Request) Plan {
	if len(request.Candidates) == 0 {
		return Plan{}
	}
	cheap := request.Candidates[0]
	strong := request.Candidates[len(request.Candidates)-1]
	if cheap.Ref == strong.Ref {
		return singleStep(request, strong, 0).plan()
	}
	return Plan{Steps: []Step{{Ref: cheap.Ref, Accept: a.Accept}, {Ref: strong.Ref}}}
}
