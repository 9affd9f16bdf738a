package placement

// NotFailing drops endpoints whose recent dispatches failed too often, unless
// that would drop all.
type NotFailing struct {
	// MaxRate is the highest share of failures that stays, in (0, 1].
	MaxRate float64
}

// Filter implements [Filter].
func (f NotFailing) Filter(_ Request, candidates []Candidate) []Candidate {
	return prefer(candidates, func(candidate Candidate) bool {
		return candidate.FailureRate <= f.MaxRate
	})
}
