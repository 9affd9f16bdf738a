// Package latency learns how the time to a first event grows with the length
// of the prompt, one [Line] a model.
package latency

import "time"

const (
	// forget is the weight that each further answer takes from the earlier
	// ones: about the last 200 count.
	forget = 0.995
	// leastWeight is the weight of answers from which on the slope is used.
	leastWeight = 8
	// leastSpread is the least variance of prompt lengths, in tokens squared,
	// for which a slope means anything.
	leastSpread = 1e4
)

// Line is a straight line through the times to the first event over the
// prompt's tokens, fitted by least squares with forgetting. The zero value has
// seen nothing. It is not safe for concurrent use.
type Line struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

// Add takes in the time that an answer took.
func (l *Line) Add(tokens int, took time.Duration) {
	x, y := float64(tokens), took.Seconds()
	l.weight = l.weight*forget + 1
	l.sumX = l.sumX*forget + x
	l.sumY = l.sumY*forget + y
	l.sumXX = l.sumXX*forget + x*x
	l.sumXY = l.sumXY*forget + x*y
}

// Known reports whether enough was seen for an estimate.
func (l *Line) Known() bool { return l.weight >= leastWeight }

// Expect returns the time that an answer to a prompt of the length takes, 0 if
// it is not known.
func (l *Line) Expect(tokens int) time.Duration {
	if !l.Known() {
		return 0
	}
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	slope := l.slope()
	// Short prompts take no less than a part of the mean: the line through long
	// ones may pass below zero there.
	const leastPart = 0.2
	seconds := max(leastPart*meanY, meanY+slope*(float64(tokens)-meanX))
	return time.Duration(seconds * float64(time.Second))
}

// slope returns the seconds that each further token of the prompt takes.
func (l *Line) slope() float64 {
	if l.weight <= 0 {
		return 0
	}
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	spread := l.sumXX/l.weight - meanX*meanX
	if spread <= leastSpread {
		return 0
	}
	return max(0, (l.sumXY/l.weight-meanX*meanY)/spread)
}

// Reading returns the part of the expected time that reading a prompt of the
// length takes, without what all prompts wait for.
func (l *Line) Reading(tokens int) time.Duration {
	if !l.Known() {
		return 0
	}
	return time.Duration(l.slope() * float64(tokens) * float64(time.Second))
}
