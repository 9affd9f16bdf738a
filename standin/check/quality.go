package check

import (
	"math"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

const (
	// goodQuality is the least hidden quality of a good answer.
	goodQuality = 0.9
	// qualityDeviations is how many standard deviations below its target the
	// share of good answers may be by chance.
	qualityDeviations = 3
)

// quality holds the share of good answers of each task class against its
// target. Answers of bad versions are left out: exposure checks them.
func (e *evaluation) quality() {
	qualities := map[string]Quality{}
	for _, o := range e.history.Observations {
		if o.Result != observation.Answered || !o.Kind.IsChat() || e.isFaulty(o) {
			continue
		}
		quality := qualities[o.Class]
		quality.Answers++
		if o.Quality >= goodQuality {
			quality.Good++
		}
		qualities[o.Class] = quality
	}
	row := e.table.row(QualityMet)
	for _, class := range sortedKeys(qualities) {
		quality := qualities[class]
		quality.Good /= float64(quality.Answers)
		quality.Target = e.target(class)
		qualities[class] = quality
		row.Checked++
		if quality.Good+quality.tolerance() < quality.Target {
			row.violation("%s: %.3f of %d answers are good, the target is %.3f", class, quality.Good, quality.Answers, quality.Target)
		}
	}
	e.table.Figures.Quality = qualities
}

// target returns the newest quality target of a task class.
func (e *evaluation) target(class string) float64 {
	if len(e.periods) == 0 {
		return 0
	}
	newest := e.periods[len(e.periods)-1].policy
	return newest.Routing.Classes[document.TaskClass(class)].QualityTarget
}

// tolerance is what chance may take off the share of good answers.
func (q Quality) tolerance() float64 {
	return qualityDeviations * math.Sqrt(q.Target*(1-q.Target)/float64(q.Answers))
}
