package placement

import "slices"

// Slowness rates candidates by how far their time to the first token exceeds
// the median of the candidates. Ordinary differences, which load explains,
// cost nothing.
type Slowness struct{}

// slownessTolerance is the multiple of the median that costs nothing.
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

// medianFirstToken returns the lower median over the candidates that have a figure.
func medianFirstToken(candidates []Candidate) float64 {
	figures := make([]float64, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.FirstTokenMillis > 0 {
			figures = append(figures, candidate.FirstTokenMillis)
		}
	}
	if len(figures) == 0 {
		return 0
	}
	slices.Sort(figures)
	return figures[(len(figures)-1)/2]
}
