package quota

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// group is the set of instances that divide a part of each limit.
type group struct {
	// known counts the instances heard of lately, this one included.
	known int
	// listed counts all instances.
	listed int
}

// part returns the group's part of a limit, in (0, 1].
func (g group) part() float64 { return float64(g.known) / float64(g.listed) }

// peerTable remembers when each peer was last heard.
type peerTable struct {
	expiry       time.Duration
	maxInstances int

	mu     sync.Mutex
	listed int
	last   map[platform.InstanceID]time.Time
}

func newPeerTable(cfg Config) peerTable {
	return peerTable{
		expiry:       cfg.DemandExpiry,
		maxInstances: cfg.MaxInstances,
		listed:       1,
		last:         make(map[platform.InstanceID]time.Time),
	}
}

// heard notes a sign of life. A peer past the bound is not counted, which
// leaves its part reserved.
func (t *peerTable) heard(now time.Time, instance platform.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.last[instance]
	if known || len(t.last) < t.maxInstances {
		t.last[instance] = now
	}
}

func (t *peerTable) tick(now time.Time, listed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = max(1, listed)
	for instance, at := range t.last {
		if now.Sub(at) > t.expiry {
			delete(t.last, instance)
		}
	}
}

func (t *peerTable) group(now time.Time) group {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := 1
	for _, at := range t.last {
		if now.Sub(at) <= t.expiry {
			known++
		}
	}
	return group{known: known, listed: max(known, t.listed)}
}
