package check

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

func (e *evaluation) leaving() {
	row := e.table.row(LeavingIsIdle)
	for _, late := range e.history.Late {
		row.Checked++
		if late.After > e.history.SettleGrace {
			row.violation("%s got %s %s after it began to leave", late.Endpoint, late.RequestID, late.After)
		}
	}
}

// revisions holds what instances had in force against what was accepted.
func (e *evaluation) revisions() {
	if len(e.history.Samples) == 0 {
		return
	}
	soon := e.table.row(InForceSoon)
	reverts := e.table.row(NeverReverts)
	last := map[string]uint64{}
	for _, sample := range e.history.Samples {
		soon.Checked++
		reverts.Checked++
		if due := e.revisionDue(sample.Time); sample.Revision < due {
			soon.violation("%s had revision %d when %d was overdue", sample.Instance, sample.Revision, due)
		}
		if sample.Revision < last[sample.Instance] {
			reverts.violation("%s went from revision %d to %d", sample.Instance, last[sample.Instance], sample.Revision)
		}
		last[sample.Instance] = sample.Revision
	}
}

// revisionDue returns the newest revision accepted more than the grace before.
func (e *evaluation) revisionDue(now time.Time) uint64 {
	due := uint64(0)
	for _, p := range e.periods {
		if p.since.Add(e.history.SettleGrace).Before(now) {
			due = uint64(p.policy.Revision)
		}
	}
	return due
}

// plannedStops looks for requests that lost their connection to an instance
// that was only ever stopped in the planned way.
func (e *evaluation) plannedStops() {
	if len(e.history.StoppedAddresses) == 0 {
		return
	}
	row := e.table.row(StopCutsNothing)
	for _, o := range e.history.Observations {
		if !slices.Contains(e.history.StoppedAddresses, o.Address) {
			continue
		}
		row.Checked++
		if o.Problem == observation.ProblemConnectionLost {
			row.violation("%s %s to %s lost its connection", o.Kind, o.RequestID, o.Address)
		}
	}
}
