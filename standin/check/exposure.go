package check

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// checkExposure counts the requests that ran on a bad version and those answered by
// a bad version. It reports a violation if more than ExposureLimit requests ran on
// a bad version. A version is bad if the fault bad_versions listed it when the run
// started.
func (e *evaluation) checkExposure() {
	exposed := map[string]bool{}
	for _, run := range e.history.EngineRuns {
		if run.Faulty {
			exposed[run.RequestID] = true
		}
	}
	e.table.Figures.Exposed = len(exposed)
	for _, o := range e.history.Observations {
		if o.Result == observation.Answered && exposed[o.RequestID] && e.isFaulty(o) {
			e.table.Figures.ExposedAnswers++
		}
	}
	if e.history.ExposureLimit < 0 {
		return
	}
	row := e.table.row(ExposureBounded)
	row.Checked = len(exposed)
	if len(exposed) > e.history.ExposureLimit {
		row.addViolation("%d requests met a bad version, the limit is %d", len(exposed), e.history.ExposureLimit)
	}
}

// isFaulty reports whether the version that answered the request was bad when it
// ran the request.
func (e *evaluation) isFaulty(o observation.Observation) bool {
	return slices.ContainsFunc(e.runsByID[o.RequestID], func(run engine.Run) bool {
		return run.Faulty && run.Ref == o.Ref
	})
}

// checkCrashes reports a violation if marked requests crashed more than two
// endpoints each on average.
func (e *evaluation) checkCrashes() {
	if e.history.MarkedRequests == 0 {
		return
	}
	const endpointsPerRequest = 2
	row := e.table.row(CrashesBounded)
	row.Checked = e.history.MarkedRequests
	if limit := endpointsPerRequest * e.history.MarkedRequests; e.history.CrashedEndpoints > limit {
		row.addViolation("%d marked requests stopped %d endpoints", e.history.MarkedRequests, e.history.CrashedEndpoints)
	}
}
