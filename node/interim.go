package node

import (
	"github.com/wigeonusher/wigeonusher/policy/cascade"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// firstCandidate plans the cheapest candidate alone.
type firstCandidate struct{}

func (firstCandidate) Plan(_ cascade.Random, _ document.ClassRule, _ float64, request cascade.Request) cascade.Plan {
	return cascade.Plan{Steps: []cascade.Step{{Ref: request.Candidates[0].Ref}}}
}

func (firstCandidate) ObserveResult(cascade.Result) {}

func (firstCandidate) ObserveRating(cascade.Rated) {}
