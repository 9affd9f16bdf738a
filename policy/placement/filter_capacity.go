package placement

// WithCapacity drops endpoints with too many outstanding requests per slot,
// unless that would drop all.
type WithCapacity struct {
	// MaxOccupancy is the number of outstanding requests per slot at and above
	// which an endpoint is dropped.
	MaxOccupancy float64
}

// Filter implements [Filter].
func (f WithCapacity) Filter(_ Request, candidates []Candidate) []Candidate {
	return keepOrAll(candidates, func(candidate Candidate) bool {
		return float64(candidate.outstanding()) < f.MaxOccupancy*float64(candidate.slots())
	})
}
