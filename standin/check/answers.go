package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// checkAnswers reports defective replies: answers that are malformed, incomplete,
// or of another request or model version, and refusals that do not say whether
// the request ran.
func (e *evaluation) checkAnswers() {
	answerRow := e.table.row(AnswersAreComplete)
	refusalRow := e.table.row(RefusalsStateOutcome)
	for _, o := range e.history.Observations {
		if o.Status >= 400 {
			refusalRow.Checked++
		} else if o.Status > 0 {
			answerRow.Checked++
		}
		if o.Result != observation.Defective {
			continue
		}
		row := answerRow
		if o.Status >= 400 {
			row = refusalRow
		}
		row.addViolation("%s of %s by %s: %s", o.Kind, o.RequestID, o.Instance, o.Problem)
	}
}

// checkNotRun reports requests that were refused as not run although an endpoint
// ran them.
func (e *evaluation) checkNotRun() {
	row := e.table.row(NotRunIsTrue)
	serviceRuns := map[string]int{}
	for _, run := range e.history.ServiceRuns {
		serviceRuns[run.RequestID]++
	}
	for _, o := range e.history.Observations {
		if o.Result != observation.NotRun {
			continue
		}
		row.Checked++
		if ran := len(e.runsByID[o.RequestID]) + serviceRuns[o.RequestID]; ran > 0 {
			row.addViolation("%s %s was refused (%s) and ran %d times", o.Kind, o.RequestID, o.Problem, ran)
		}
	}
}
