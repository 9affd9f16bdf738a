package placement

// WithCapacity drops endpoints whose queue is already long, unless that would
// drop all.
type WithCapacity struct {
	// MaxOccupancy is the highest number of outstanding requests per slot
	// that stays.
	MaxOccupancy float64
}

// Filter implements [Filter].
func (f WithCapacity) Filter(_ Request, candidates []Candidate) []Candidate {
	return prefer(candidates, func(candidate Candidate) bool {
		return float64(candidate.known()) < f.MaxOccupancy*float64(candidate.slots())
	})
}
