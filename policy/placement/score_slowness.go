package placement

import "slices"

// Slowness scores candidates by how far their time to the first token exceeds a
// multiple of the median. Smaller differences score 0: load explains them.
type Slowness struct{}

// slownessTolerance is the multiple of the median up to which the score is 0.
const slownessTolerance = 2

// Score implements [Scorer].
func (Slowness) Score(_ Request, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	allowed := slownessTolerance * medianFirstToken(candidates)
	for i, candidate := range candidates {
		scores[i] = max(0, candidate.FirstTokenMillis-allowed)
	}
	return scores
}

// medianFirstToken returns the lower median of the candidates' times to the
// first token. Candidates without one are left out.
func medianFirstToken(candidates []Candidate) float64 {
	delays := make([]float64, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.FirstTokenMillis > 0 {
			delays = append(delays, candidate.FirstTokenMillis)
		}
	}
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[(len(delays)-1)/2]
}
