// Package readers decides which instances of an availability zone read a topic of the platform's
// log. The others follow them, so that the number of calls to the log does not grow with the zone.
//
// Instances that disagree on the members, or on which of them can read, let a few more or fewer
// read; nothing else changes.
package readers

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Candidate is a live instance that may read a topic.
type Candidate struct {
	ID platform.InstanceID
	// Failing reports that the instance says that it cannot read the topic.
	Failing bool
}

// Select returns the instances that read: the first count of the ranked candidates that do not
// fail or, if all fail, the first count of all, which then find out when the log is back.
func Select(ranked []Candidate, count int) []platform.InstanceID {
	able := slices.DeleteFunc(slices.Clone(ranked), func(c Candidate) bool { return c.Failing })
	if len(able) == 0 {
		able = ranked
	}
	var selected []platform.InstanceID
	for _, candidate := range able[:min(len(able), count)] {
		selected = append(selected, candidate.ID)
	}
	return selected
}

// IsReader reports whether an instance is among the readers. It is also true if there are no
// candidates: the instance knows nobody to follow, not even itself.
func IsReader(self platform.InstanceID, selected []platform.InstanceID) bool {
	return len(selected) == 0 || slices.Contains(selected, self)
}
