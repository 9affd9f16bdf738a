// Package latency estimates the time to the first event as a linear function of the
// prompt's length, with one [Line] per model.
package latency

import (
	"cmp"
	"time"
)

const (
	// decay is the factor applied to the weight of earlier answers with each new answer,
	// so that the total weight is at most that of 200 new answers.
	decay = 0.995
	// minWeight is the minimum total weight of the answers for an estimate.
	minWeight = 8
	// defaultMinVariance is the default of [Line.MinVariance], in tokens squared.
	defaultMinVariance = 1e4
)

// Line is a least-squares fit of the time to the first event over the prompt's tokens,
// with exponential decay of earlier answers. The zero value holds no answers. It is not
// safe for concurrent use.
type Line struct {
	// MinVariance is the minimum variance of prompt lengths, in tokens squared, for which a
	// slope is estimated; 0 selects a default. A line over another number than tokens needs
	// its own.
	MinVariance float64

	weight, sumX, sumY, sumXX, sumXY float64
}

// Add adds the time to the first event of an answer to a prompt of the given tokens.
func (l *Line) Add(tokens int, took time.Duration) {
	x, y := float64(tokens), took.Seconds()
	l.weight = l.weight*decay + 1
	l.sumX = l.sumX*decay + x
	l.sumY = l.sumY*decay + y
	l.sumXX = l.sumXX*decay + x*x
	l.sumXY = l.sumXY*decay + x*y
}

// HasEstimate reports whether there are enough answers for an estimate.
func (l *Line) HasEstimate() bool { return l.weight >= minWeight }

// Estimate returns the expected time to the first event for a prompt of the given tokens;
// 0 if unknown.
func (l *Line) Estimate(tokens int) time.Duration {
	if !l.HasEstimate() {
		return 0
	}
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	slope := l.slope()
	// The lower bound is a share of the mean: a line fitted to long prompts may be negative
	// for short ones.
	const minMeanShare = 0.2
	seconds := max(minMeanShare*meanY, meanY+slope*(float64(tokens)-meanX))
	return time.Duration(seconds * float64(time.Second))
}

// slope returns the time per prompt token, in seconds; 0 if the prompt lengths vary too
// little.
func (l *Line) slope() float64 {
	if l.weight <= 0 {
		return 0
	}
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	spread := l.sumXX/l.weight - meanX*meanX
	if spread <= cmp.Or(l.MinVariance, defaultMinVariance) {
		return 0
	}
	return max(0, (l.sumXY/l.weight-meanX*meanY)/spread)
}

// PrefillTime returns the part of the expected time that grows with the prompt, without the
// constant part; 0 if unknown.
func (l *Line) PrefillTime(tokens int) time.Duration {
	if !l.HasEstimate() {
		return 0
	}
	return time.Duration(l.slope() * float64(tokens) * float64(time.Second))
}
