package check

import (
	"math"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

const (
	// minGoodQuality is the lowest hidden quality that counts as a good answer.
	minGoodQuality = 0.9
	// qualityDeviations is the number of standard deviations that the share of
	// good answers may fall below its target by chance.
	qualityDeviations = 3
)

// checkQuality reports task classes whose share of good answers is below their
// target by more than the tolerance. It omits answers of bad versions, which
// checkExposure covers.
func (e *evaluation) checkQuality() {
	qualities := map[string]Quality{}
	for _, o := range e.history.Observations {
		if o.Result != observation.Answered || !o.Kind.IsChat() || e.isFaulty(o) {
			continue
		}
		quality := qualities[o.Class]
		quality.Answers++
		if o.Quality >= minGoodQuality {
			quality.Good++
		}
		qualities[o.Class] = quality
	}
	row := e.table.row(QualityMet)
	for _, class := range sortedKeys(qualities) {
		quality := qualities[class]
		quality.Good /= float64(quality.Answers)
		quality.Target = e.qualityTarget(class)
		qualities[class] = quality
		row.Checked++
		if quality.Good+quality.tolerance() < quality.Target {
			row.addViolation("%s: %.3f of %d answers are good, the target is %.3f", class, quality.Good, quality.Answers, quality.Target)
		}
	}
	e.table.Figures.Quality = qualities
}

// qualityTarget returns the quality target of a task class in the newest accepted
// policy.
func (e *evaluation) qualityTarget(class string) float64 {
	if len(e.acceptedPolicies) == 0 {
		return 0
	}
	newest := e.acceptedPolicies[len(e.acceptedPolicies)-1].policy
	return newest.Routing.Classes[document.TaskClass(class)].QualityTarget
}

// tolerance returns how far the share of good answers may be below the target by
// chance.
func (q Quality) tolerance() float64 {
	return qualityDeviations * math.Sqrt(q.Target*(1-q.Target)/float64(q.Answers))
}
