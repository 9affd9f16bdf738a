package placement

// PowerOfTwo draws two candidates at random and picks the one with the lower
// score, so that instances with the same stale reports do not all pick the
// same endpoint.
type PowerOfTwo struct{}

// Pick implements [Picker].
func (PowerOfTwo) Pick(random Random, candidates []Candidate, scores []float64) int {
	if len(candidates) == 1 {
		return 0
	}
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if scores[second] < scores[first] {
		return second
	}
	return first
}
