package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

func (e *evaluation) answers() {
	answers := e.table.row(OwnWholeAnswer)
	sayings := e.table.row(RefusalsSayEnough)
	for _, o := range e.history.Observations {
		if o.Status >= 400 {
			sayings.Checked++
		} else if o.Status > 0 {
			answers.Checked++
		}
		if o.Result != observation.Defective {
			continue
		}
		row := answers
		if o.Status >= 400 {
			row = sayings
		}
		row.violation("%s of %s by %s: %s", o.Kind, o.RequestID, o.Instance, o.Problem)
	}
}

// refusals holds each statement "not run" against what the endpoints ran.
func (e *evaluation) refusals() {
	row := e.table.row(NotRunIsTrue)
	served := map[string]int{}
	for _, run := range e.history.ServiceRuns {
		served[run.RequestID]++
	}
	for _, o := range e.history.Observations {
		if o.Result != observation.NotRun {
			continue
		}
		row.Checked++
		if ran := len(e.runsByID[o.RequestID]) + served[o.RequestID]; ran > 0 {
			row.violation("%s %s was refused (%s) and ran %d times", o.Kind, o.RequestID, o.Problem, ran)
		}
	}
}
