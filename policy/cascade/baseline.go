package cascade

import "github.com/wigeonusher/wigeonusher/policy/document"

// ignorant is the part of a planner that learns nothing.
type ignorant struct{}

// ObserveResult implements [Planner].
func (ignorant) ObserveResult(Result) {}

// ObserveRating implements [Planner].
func (ignorant) ObserveRating(Rated) {}

// AlwaysStrong uses the last candidate, whatever the request.
type AlwaysStrong struct{ ignorant }

// Plan implements [Planner].
func (AlwaysStrong) Plan(_ Random, _ document.ClassRule, _ float64, request Request) Plan {
	if len(request.Candidates) == 0 {
		return Plan{}
	}
	strong := request.Candidates[len(request.Candidates)-1]
	return single(request, strong, 0).plan()
}

// AlwaysCheap uses the first candidate, whatever the request.
type AlwaysCheap struct{ ignorant }

// Plan implements [Planner].
func (AlwaysCheap) Plan(_ Random, _ document.ClassRule, _ float64, request Request) Plan {
	if len(request.Candidates) == 0 {
		return Plan{}
	}
	return single(request, request.Candidates[0], 0).plan()
}

// AlwaysCheapThenStrong tries the first candidate and accepts its answer from a
// fixed confidence on; else the last candidate answers.
type AlwaysCheapThenStrong struct {
	ignorant
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
		return single(request, strong, 0).plan()
	}
	return Plan{Steps: []Step{{Ref: cheap.Ref, Accept: a.Accept}, {Ref: strong.Ref}}}
}
