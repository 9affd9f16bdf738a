package latency

// Sums are the sums of a [Line], which can be passed on and added up.
type Sums struct {
	Weight, X, Y, XX, XY float64
}

// Sums returns the sums of the line.
func (l *Line) Sums() Sums {
	return Sums{Weight: l.weight, X: l.sumX, Y: l.sumY, XX: l.sumXX, XY: l.sumXY}
}

// Merge adds the sums of other lines. Sums that no answers can have are ignored.
func (l *Line) Merge(sums Sums) {
	if !sums.isValid() {
		return
	}
	l.weight += sums.Weight
	l.sumX += sums.X
	l.sumY += sums.Y
	l.sumXX += sums.XX
	l.sumXY += sums.XY
}

// maxSum bounds each of the sums, so that none overflows.
const maxSum = 1e15

// isValid reports whether answers may have the sums: all are finite and not negative, and the
// squares of the prompt lengths fit their mean.
func (s Sums) isValid() bool {
	for _, sum := range []float64{s.Weight, s.X, s.Y, s.XX, s.XY} {
		if !(sum >= 0 && sum <= maxSum) {
			return false
		}
	}
	const rounding = 0.999
	return s.Weight > 0 && s.XX*s.Weight >= rounding*s.X*s.X
}
