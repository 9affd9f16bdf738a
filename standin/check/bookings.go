package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

func (e *evaluation) bookings() {
	runs := map[string]int{}
	for _, run := range e.history.ServiceRuns {
		if run.Repeatable() {
			continue
		}
		key := run.Key
		if key == "" {
			key = run.RequestID
		}
		runs[key]++
	}
	twice := e.table.row(BookedAtMostOnce)
	twice.Checked = len(runs)
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			e.table.Figures.DoubleRuns++
			twice.violation("%s ran %d times", key, runs[key])
		}
	}
	lost := e.table.row(BookedIfAnswered)
	for _, o := range e.history.Observations {
		if o.Kind != observation.Booking || o.Result != observation.Answered {
			continue
		}
		lost.Checked++
		if runs[o.Key] == 0 {
			lost.violation("%s was confirmed and never ran", o.Key)
		}
	}
}
