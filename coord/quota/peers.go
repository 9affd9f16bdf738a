package quota

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// group is the set of instances that divide a fraction of each limit.
type group struct {
	// known is the number of instances with a recent digest, including this one.
	known int
	// listed is the number of all instances in the platform's list, but at
	// least known.
	listed int
}

// fraction returns the group's fraction of a limit, in (0, 1].
func (g group) fraction() float64 { return float64(g.known) / float64(g.listed) }

// peerTable holds the time of the last digest of each peer.
type peerTable struct {
	expiry       time.Duration
	maxInstances int

	mu         sync.Mutex
	listed     int
	lastDigest map[platform.InstanceID]time.Time
}

func newPeerTable(cfg Config) peerTable {
	return peerTable{
		expiry:       cfg.DemandExpiry,
		maxInstances: cfg.MaxInstances,
		listed:       1,
		lastDigest:   make(map[platform.InstanceID]time.Time),
	}
}

// recordDigest records a digest of the instance. Beyond maxInstances, a new
// instance is not counted, so its part of the limit remains reserved.
func (t *peerTable) recordDigest(now time.Time, instance platform.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.lastDigest[instance]
	if known || len(t.lastDigest) < t.maxInstances {
		t.lastDigest[instance] = now
	}
}

// tick sets the number of listed instances and removes peers without a recent
// digest.
func (t *peerTable) tick(now time.Time, listed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = max(1, listed)
	for instance, seenAt := range t.lastDigest {
		if now.Sub(seenAt) > t.expiry {
			delete(t.lastDigest, instance)
		}
	}
}

func (t *peerTable) group(now time.Time) group {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := 1
	for _, seenAt := range t.lastDigest {
		if now.Sub(seenAt) <= t.expiry {
			known++
		}
	}
	return group{known: known, listed: max(known, t.listed)}
}
