package placement

import "slices"

// NotAvoided drops the endpoints that the request must not meet again. It may
// drop all.
type NotAvoided struct{}

// Filter implements [Filter].
func (NotAvoided) Filter(request Request, candidates []Candidate) []Candidate {
	if len(request.Avoid) == 0 {
		return candidates
	}
	return keep(candidates, func(candidate Candidate) bool {
		return !slices.Contains(request.Avoid, candidate.ID)
	})
}

// keep returns the candidates that satisfy the predicate, in order.
func keep(candidates []Candidate, stays func(Candidate) bool) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if stays(candidate) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// prefer is keep, but returns all candidates when none would stay.
func prefer(candidates []Candidate, stays func(Candidate) bool) []Candidate {
	kept := keep(candidates, stays)
	if len(kept) == 0 {
		return candidates
	}
	return kept
}
