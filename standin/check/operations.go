package check

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// checkLeaving reports requests that an endpoint received more than SettleGrace
// after it began to leave.
func (e *evaluation) checkLeaving() {
	row := e.table.row(LeavingEndpointsIdle)
	for _, late := range e.history.LateRequests {
		row.Checked++
		if late.After > e.history.SettleGrace {
			row.addViolation("%s got %s %s after it began to leave", late.Endpoint, late.RequestID, late.After)
		}
	}
}

// checkRevisions reports instances that had not applied a revision when it was
// overdue, and instances that went back to an earlier revision.
func (e *evaluation) checkRevisions() {
	if len(e.history.Samples) == 0 {
		return
	}
	overdueRow := e.table.row(ConfigInForceInTime)
	revertedRow := e.table.row(ConfigNeverReverts)
	last := map[string]uint64{}
	for _, sample := range e.history.Samples {
		overdueRow.Checked++
		revertedRow.Checked++
		if due := e.dueRevision(sample.Time); sample.Revision < due {
			overdueRow.addViolation("%s had revision %d when %d was overdue", sample.Instance, sample.Revision, due)
		}
		if sample.Revision < last[sample.Instance] {
			revertedRow.addViolation("%s went from revision %d to %d", sample.Instance, last[sample.Instance], sample.Revision)
		}
		last[sample.Instance] = sample.Revision
	}
}

// dueRevision returns the newest revision that was accepted more than SettleGrace
// before the given time, or 0 if there is none.
func (e *evaluation) dueRevision(now time.Time) uint64 {
	due := uint64(0)
	for _, p := range e.acceptedPolicies {
		if p.acceptedAt.Add(e.history.SettleGrace).Before(now) {
			due = uint64(p.policy.Revision)
		}
	}
	return due
}

// checkPlannedStops reports requests that lost their connection to an instance
// that was stopped as planned.
func (e *evaluation) checkPlannedStops() {
	if len(e.history.StoppedAddresses) == 0 {
		return
	}
	row := e.table.row(PlannedStopsCutNothing)
	for _, o := range e.history.Observations {
		if !slices.Contains(e.history.StoppedAddresses, o.Address) {
			continue
		}
		row.Checked++
		if o.Problem == observation.ProblemConnectionLost {
			row.addViolation("%s %s to %s lost its connection", o.Kind, o.RequestID, o.Address)
		}
	}
}
