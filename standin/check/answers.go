package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

func (j *judge) answers() {
	answers := j.table.row(OwnWholeAnswer)
	sayings := j.table.row(RefusalsSayEnough)
	for _, o := range j.history.Observations {
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
		row.breach("%s of %s by %s: %s", o.Kind, o.RequestID, o.Instance, o.Problem)
	}
}

// refusals holds each statement "not run" against what the endpoints ran.
func (j *judge) refusals() {
	row := j.table.row(NotRunIsTrue)
	served := map[string]int{}
	for _, run := range j.history.ServiceRuns {
		served[run.RequestID]++
	}
	for _, o := range j.history.Observations {
		if o.Result != observation.NotRun {
			continue
		}
		row.Checked++
		if ran := len(j.runsByID[o.RequestID]) + served[o.RequestID]; ran > 0 {
			row.breach("%s %s was refused (%s) and ran %d times", o.Kind, o.RequestID, o.Problem, ran)
		}
	}
}
