// Package evacuation folds the operator's orders to send nothing to the endpoints of an availability
// zone. It addresses a zone that is about to lose its endpoints, or is repaired, under load: all
// instances must leave it within seconds, also those that start or return meanwhile.
//
// The log alone decides: an order is in force while its record exists. A log that was restored from
// an older copy may lack the record of an order that was never taken back. Such an order is held
// until the operator writes again, for at most [HoldAfterRestore].
//
// The package does no input or output; the caller passes the time.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// HoldAfterRestore is how long an order is held that a restored log lacks. The operator writes its
// orders again within that time.
const HoldAfterRestore = 10 * time.Second

// Change is the new state of the order for a zone.
type Change struct {
	Zone platform.Zone
	// Evacuated reports that the order is in force; otherwise it was taken back.
	Evacuated bool
}

// Read is one read of the operator's topic.
type Read struct {
	// Changes are the changes of orders. Those of a snapshot take back each known order that it lacks.
	Changes []Change
	// Restored reports that the read is a snapshot of a log that was restored from an older copy.
	Restored bool
	// Written reports that the operator has written a record of any kind since the read before.
	Written bool
}

// Set is the set of evacuated zones. It is not safe for concurrent use. The zero value is empty.
type Set struct {
	ordered, held map[platform.Zone]struct{}
	heldUntil     time.Time
}

// Apply applies one read.
func (s *Set) Apply(now time.Time, read Read) {
	if s.ordered == nil {
		s.ordered, s.held = make(map[platform.Zone]struct{}), make(map[platform.Zone]struct{})
	}
	if read.Restored {
		s.hold(now)
	} else if read.Written {
		clear(s.held)
	}
	for _, change := range read.Changes {
		if change.Evacuated {
			s.ordered[change.Zone] = struct{}{}
		} else {
			delete(s.ordered, change.Zone)
		}
	}
}

// hold holds the orders in force. Orders that are held already are not held for longer by a further
// restore: nobody has confirmed them since.
func (s *Set) hold(now time.Time) {
	if !now.Before(s.heldUntil) {
		clear(s.held)
	}
	if len(s.held) == 0 {
		s.heldUntil = now.Add(HoldAfterRestore)
	}
	maps.Copy(s.held, s.ordered)
}

// Zones returns the evacuated zones, sorted.
func (s *Set) Zones(now time.Time) []platform.Zone {
	zones := maps.Clone(s.ordered)
	if now.Before(s.heldUntil) {
		maps.Copy(zones, s.held)
	}
	return slices.Sorted(maps.Keys(zones))
}
