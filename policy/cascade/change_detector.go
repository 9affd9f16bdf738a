package cascade

import "math"

const (
	// changeThreshold is the log likelihood ratio at which a drop is detected.
	changeThreshold = 9
	// changeFactor is the relative drop that the cumulative sum tests for: the
	// probability of a good answer after a change, divided by the one before.
	changeFactor = 0.75
	// probabilityMargin keeps predicted probabilities away from 0 and 1, where the
	// likelihood ratio is infinite.
	probabilityMargin = 0.02
)

// changeDetector detects a drop of quality by a one-sided cumulative sum (CUSUM)
// over ratings. It keeps the ratings since the sum was last zero. The zero value
// is ready to use.
type changeDetector struct {
	sum  float64
	good [Bins]float64
	bad  [Bins]float64
}

// addRatings adds ratings of one bin and reports whether the sum has reached
// changeThreshold. The argument expected is the predicted share of good ratings
// in the bin.
func (c *changeDetector) addRatings(bin int, expected, good, bad float64) bool {
	before := min(1-probabilityMargin, max(probabilityMargin, expected))
	after := before * changeFactor
	c.sum += good*math.Log(after/before) + bad*math.Log((1-after)/(1-before))
	if c.sum <= 0 {
		*c = changeDetector{}
		return false
	}
	c.good[bin] += good
	c.bad[bin] += bad
	return c.sum >= changeThreshold
}
