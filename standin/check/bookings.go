package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

func (j *judge) bookings() {
	runs := map[string]int{}
	for _, run := range j.history.ServiceRuns {
		if run.Repeatable() {
			continue
		}
		key := run.Key
		if key == "" {
			key = run.RequestID
		}
		runs[key]++
	}
	twice := j.table.row(BookedAtMostOnce)
	twice.Checked = len(runs)
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			j.table.Figures.DoubleRuns++
			twice.breach("%s ran %d times", key, runs[key])
		}
	}
	lost := j.table.row(BookedIfAnswered)
	for _, o := range j.history.Observations {
		if o.Kind != observation.Booking || o.Result != observation.Answered {
			continue
		}
		lost.Checked++
		if runs[o.Key] == 0 {
			lost.breach("%s was confirmed and never ran", o.Key)
		}
	}
}
