package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/evacuation"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/tailer"
)

// evacuations folds the operator's orders and tells the pools which zones are evacuated. It is safe
// for concurrent use.
type evacuations struct {
	mu  sync.Mutex
	set evacuation.Set
}

func (e *evacuations) apply(now time.Time, read evacuation.Read, pools *pool.Pools) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.Apply(now, read)
	zones := e.set.Zones(now)
	// An order that was given and taken back between two reads has ended too: the endpoints of its zone
	// may be cold.
	begun := slices.Clone(zones)
	for _, change := range read.Changes {
		if read.Written && !slices.Contains(begun, change.Zone) {
			begun = append(begun, change.Zone)
		}
	}
	pools.SetEvacuated(now, begun)
	pools.SetEvacuated(now, zones)
}

// update ends evacuations that were held only for a time.
func (e *evacuations) update(now time.Time, pools *pool.Pools) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pools.SetEvacuated(now, e.set.Zones(now))
}

// applyEvacuations applies the operator's orders in a batch. An order that cannot be decoded changes
// nothing.
func (e *Entry) applyEvacuations(now time.Time, batch tailer.Batch) {
	read := evacuation.Read{Restored: batch.Restored, Written: !batch.Snapshot && len(batch.Changes) > 0}
	for _, change := range batch.Changes {
		decoded, err := e.platform.DecodeEvacuation(change)
		if err != nil {
			e.log.WithError(err).WithField("key", change.Key).Error("cannot decode evacuation; the state of its zone stays as it was")
		}
		if decoded != nil {
			read.Changes = append(read.Changes, *decoded)
		}
	}
	e.evacuations.apply(now, read, e.pools)
}
