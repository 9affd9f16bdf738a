package check

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

func (j *judge) leaving() {
	row := j.table.row(LeavingIsIdle)
	for _, late := range j.history.Late {
		row.Checked++
		if late.After > j.history.SettleGrace {
			row.breach("%s got %s %s after it began to leave", late.Endpoint, late.RequestID, late.After)
		}
	}
}

// revisions holds what instances had in force against what was accepted.
func (j *judge) revisions() {
	if len(j.history.Samples) == 0 {
		return
	}
	soon := j.table.row(InForceSoon)
	reverts := j.table.row(NeverReverts)
	last := map[string]uint64{}
	for _, sample := range j.history.Samples {
		soon.Checked++
		reverts.Checked++
		if due := j.revisionDue(sample.Time); sample.Revision < due {
			soon.breach("%s had revision %d when %d was overdue", sample.Instance, sample.Revision, due)
		}
		if sample.Revision < last[sample.Instance] {
			reverts.breach("%s went from revision %d to %d", sample.Instance, last[sample.Instance], sample.Revision)
		}
		last[sample.Instance] = sample.Revision
	}
}

// revisionDue returns the newest revision accepted more than the grace before.
func (j *judge) revisionDue(now time.Time) uint64 {
	due := uint64(0)
	for _, e := range j.eras {
		if e.since.Add(j.history.SettleGrace).Before(now) {
			due = uint64(e.policy.Revision)
		}
	}
	return due
}

// plannedStops looks for requests that lost their connection to an instance
// that was only ever stopped in the planned way.
func (j *judge) plannedStops() {
	if len(j.history.StoppedAddresses) == 0 {
		return
	}
	row := j.table.row(StopCutsNothing)
	for _, o := range j.history.Observations {
		if !slices.Contains(j.history.StoppedAddresses, o.Address) {
			continue
		}
		row.Checked++
		if o.Problem == observation.ProblemConnectionLost {
			row.breach("%s %s to %s lost its connection", o.Kind, o.RequestID, o.Address)
		}
	}
}
