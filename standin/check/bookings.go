package check

import (
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// checkBookings reports bookings that ran more than once, and confirmed bookings
// that did not run.
func (e *evaluation) checkBookings() {
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
	repeatedRow := e.table.row(BookedAtMostOnce)
	repeatedRow.Checked = len(runs)
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			e.table.Figures.DoubleRuns++
			repeatedRow.addViolation("%s ran %d times", key, runs[key])
		}
	}
	lostRow := e.table.row(BookedIfAnswered)
	for _, o := range e.history.Observations {
		if o.Kind != observation.Booking || o.Result != observation.Answered {
			continue
		}
		lostRow.Checked++
		if runs[o.Key] == 0 {
			lostRow.addViolation("%s was confirmed and never ran", o.Key)
		}
	}
}
