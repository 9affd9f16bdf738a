package check

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

func (j *judge) exposure() {
	exposed := map[string]bool{}
	for _, run := range j.history.EngineRuns {
		if run.Faulty {
			exposed[run.RequestID] = true
		}
	}
	j.table.Figures.Exposed = len(exposed)
	for _, o := range j.history.Observations {
		if o.Result == observation.Answered && exposed[o.RequestID] && j.isFaulty(o) {
			j.table.Figures.ExposedAnswers++
		}
	}
	if j.history.ExposureLimit < 0 {
		return
	}
	row := j.table.row(ExposureBounded)
	row.Checked = len(exposed)
	if len(exposed) > j.history.ExposureLimit {
		row.breach("%d requests met a bad version, the limit is %d", len(exposed), j.history.ExposureLimit)
	}
}

// isFaulty reports whether the version that answered was a bad one.
func (j *judge) isFaulty(o observation.Observation) bool {
	return slices.ContainsFunc(j.runsByID[o.RequestID], func(run engine.Run) bool {
		return run.Faulty && run.Ref == o.Ref
	})
}

func (j *judge) crashes() {
	if j.history.MarkedRequests == 0 {
		return
	}
	const endpointsPerRequest = 2
	row := j.table.row(CrashesBounded)
	row.Checked = j.history.MarkedRequests
	if limit := endpointsPerRequest * j.history.MarkedRequests; j.history.CrashedEndpoints > limit {
		row.breach("%d marked requests stopped %d endpoints", j.history.MarkedRequests, j.history.CrashedEndpoints)
	}
}
