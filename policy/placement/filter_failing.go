package placement

// NotFailing drops endpoints with a high share of failures among recent
// dispatches, unless that would drop all.
type NotFailing struct {
	// MaxRate is the share of failures above which an endpoint is dropped, in
	// (0, 1].
	MaxRate float64
}

// Filter implements [Filter].
func (f NotFailing) Filter(_ Request, candidates []Candidate) []Candidate {
	return keepOrAll(candidates, func(candidate Candidate) bool {
		return candidate.FailureRate <= f.MaxRate
	})
}
