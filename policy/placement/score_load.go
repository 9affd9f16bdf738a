package placement

import "math"

// Load scores candidates by the expected wait for a slot and the slowdown by
// the other requests in the batch.
type Load struct {
	// ServiceMillis is the mean time that a request holds a slot.
	ServiceMillis float64
}

// fullBatchSlowdown is the additional time of a request in a full batch,
// compared with an empty one, as a share of the service time.
const fullBatchSlowdown = 0.02

// Score implements [Scorer].
func (s Load) Score(_ Request, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, load := range estimates(candidates, s.ServiceMillis) {
		scores[i] = s.waitMillis(load, float64(candidates[i].slots()))
	}
	return scores
}

// waitMillis returns the expected wait for a slot plus the slowdown by the
// other requests in the batch.
func (s Load) waitMillis(load estimate, slots float64) float64 {
	ahead := expectedExcess(load.outstanding-(slots-1), load.variance)
	wait := ahead * s.ServiceMillis / slots
	slowdown := fullBatchSlowdown * s.ServiceMillis * load.outstanding / slots
	return wait + slowdown
}

// expectedExcess returns E[max(0, X)] for a normally distributed X.
func expectedExcess(mean, variance float64) float64 {
	if variance <= 0 {
		return max(0, mean)
	}
	deviation := math.Sqrt(variance)
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	below := math.Erfc(-z/math.Sqrt2) / 2
	return deviation*density + mean*below
}
