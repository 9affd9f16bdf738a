package placement

import "math"

// DelayCurve is how long requests wait at an endpoint before their work begins, by the expected part of
// its slots in use when they are sent, as a multiple of the usual duration of a request. The load is an
// estimate from reports that are about a second old, so requests also wait where it is below the slots:
// the curve holds this uncertainty too. It is learned from this instance's own answers, for all endpoints
// of a service together. The zero value is the prior. It is not safe for concurrent use.
type DelayCurve struct {
	sums, weights [curvePoints]float64
}

const (
	// The curve has a point at each multiple of curveStep of the slots.
	curvePoints = 16
	curveStep   = 0.125
	// The prior: no delay below priorFree of the slots, rising to priorFull durations of a request when
	// all are in use, and one more duration for each further round of requests.
	priorFree = 0.5
	priorFull = 1.0
	// priorAnswers is the number of answers that the prior counts for at each point, and curveDecay
	// the factor by which each answer reduces the weight of the earlier ones there.
	priorAnswers = 10
	curveDecay   = 0.99
	// maxDelay bounds the delay of one answer, in durations of a request, so that a single stuck
	// request does not change the curve much.
	maxDelay = 8
)

func priorDelay(use float64) float64 {
	switch {
	case use <= priorFree:
		return 0
	case use <= 1:
		part := (use - priorFree) / (1 - priorFree)
		return priorFull * part * part
	default:
		return priorFull + (use - 1)
	}
}

// Add records the delay of an answer, in durations of a request, at an endpoint that was expected to have
// the given part of its slots in use. Impossible values are ignored.
func (c *DelayCurve) Add(use, delay float64) {
	if !(use >= 0) || math.IsNaN(delay) || math.IsInf(use, 0) {
		return
	}
	at := min(curvePoints-1, int(math.Round(use/curveStep)))
	c.sums[at] = c.sums[at]*curveDecay + min(maxDelay, max(0, delay))
	c.weights[at] = c.weights[at]*curveDecay + 1
}

// Curve returns the delays, which do not fall with the part of the slots in use.
func (c *DelayCurve) Curve() Curve {
	var curve Curve
	for i := range curve {
		curve[i] = (c.sums[i] + priorAnswers*priorDelay(float64(i)*curveStep)) / (c.weights[i] + priorAnswers)
		if i > 0 {
			curve[i] = max(curve[i], curve[i-1])
		}
	}
	return curve
}

// Curve holds the delays of a [DelayCurve].
type Curve [curvePoints]float64

// Delay returns the delay at the given part of the slots in use, in durations of a request. Beyond the last
// point, each further round of requests takes one duration.
func (c *Curve) Delay(use float64) float64 {
	position := max(0, use) / curveStep
	if position >= curvePoints-1 {
		return c[curvePoints-1] + (position-(curvePoints-1))*curveStep
	}
	below := int(position)
	return c[below] + (position-float64(below))*(c[below+1]-c[below])
}
