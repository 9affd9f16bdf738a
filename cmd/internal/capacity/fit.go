package capacity

// Fit is a linear model of a cost per instance: a constant, a cost per other
// instance of the zone, and a cost per other zone.
type Fit struct {
	Constant float64 `json:"constant"`
	PerPeer  float64 `json:"per_peer"`
	PerZone  float64 `json:"per_zone"`
}

// costAt returns the cost at a size. Negative coefficients are measurement noise
// and count as 0.
func (f Fit) costAt(size Size) float64 {
	return max(0, f.Constant) + max(0, f.PerPeer)*(size.instancesPerZone()-1) + max(0, f.PerZone)*float64(size.Zones-1)
}

// fitPlane returns the least-squares fit of the values of the samples.
func fitPlane(samples []Sample, value func(Sample) float64) Fit {
	var normal [3][4]float64
	for _, sample := range samples {
		row := [3]float64{1, float64(sample.PerZone - 1), float64(sample.Zones - 1)}
		for i := range row {
			for j := range row {
				normal[i][j] += row[i] * row[j]
			}
			normal[i][3] += row[i] * value(sample)
		}
	}
	solution := solve(normal)
	return Fit{Constant: solution[0], PerPeer: solution[1], PerZone: solution[2]}
}

// solve solves three linear equations by Gauss-Jordan elimination without
// pivoting. The last column holds the right-hand sides; no pivot may be zero.
func solve(m [3][4]float64) [3]float64 {
	for i := range m {
		pivot := m[i][i]
		for j := range m[i] {
			m[i][j] /= pivot
		}
		for k := range m {
			if k == i {
				continue
			}
			factor := m[k][i]
			for j := range m[k] {
				m[k][j] -= factor * m[i][j]
			}
		}
	}
	return [3]float64{m[0][3], m[1][3], m[2][3]}
}
