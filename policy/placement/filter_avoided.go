package placement

import "slices"

// NotAvoided drops the endpoints in [Request.Avoid]. It may drop all
// candidates.
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

// keep returns the candidates for which accept returns true, in order.
func keep(candidates []Candidate, accept func(Candidate) bool) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if accept(candidate) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// keepOrAll returns the candidates for which accept returns true, or all
// candidates if there is none.
func keepOrAll(candidates []Candidate, accept func(Candidate) bool) []Candidate {
	kept := keep(candidates, accept)
	if len(kept) == 0 {
		return candidates
	}
	return kept
}
