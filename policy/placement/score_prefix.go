package placement

// Prefix scores candidates by the time to prefill the prompt tokens that are
// not in their prefix cache.
type Prefix struct {
	// MillisPerToken is the time to process one prompt token.
	MillisPerToken float64
}

// Score implements [Scorer].
func (s Prefix) Score(request Request, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, candidate := range candidates {
		missing := max(0, request.PromptTokens-candidate.PrefixTokens)
		scores[i] = float64(missing) * s.MillisPerToken
	}
	return scores
}
