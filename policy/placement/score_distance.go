package placement

import "github.com/wigeonusher/wigeonusher/coord/platform"

// ZonePair names two zones, in either order.
type ZonePair struct{ A, B platform.Zone }

// Distances holds the one-way delays between zones, in milliseconds.
type Distances struct {
	// DefaultMillis is the delay between zones that are not listed.
	DefaultMillis float64
	// Pairs holds the delays of particular pairs of zones.
	Pairs map[ZonePair]float64
}

// Between returns the one-way delay between two zones, in milliseconds.
func (d Distances) Between(a, b platform.Zone) float64 {
	if a == b {
		return 0
	}
	if millis, ok := d.Pairs[ZonePair{A: a, B: b}]; ok {
		return millis
	}
	if millis, ok := d.Pairs[ZonePair{A: b, B: a}]; ok {
		return millis
	}
	return d.DefaultMillis
}

// Distance scores candidates by the round trip to their zone, so a request
// leaves its zone only if that saves more than the round trip.
type Distance struct {
	Distances Distances
}

// Score implements [Scorer].
func (s Distance) Score(request Request, candidates []Candidate) []float64 {
	scores := make([]float64, len(candidates))
	for i, candidate := range candidates {
		scores[i] = 2 * s.Distances.Between(request.Zone, candidate.Zone)
	}
	return scores
}
