package placement

// LeastScore picks the candidate with the lowest score. Ties are broken at
// random.
type LeastScore struct{}

// Pick implements [Picker].
func (LeastScore) Pick(random Random, _ []Candidate, scores []float64) int {
	best, ties := 0, 1
	for i := 1; i < len(scores); i++ {
		switch {
		case scores[i] < scores[best]:
			best, ties = i, 1
		case scores[i] == scores[best]:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
