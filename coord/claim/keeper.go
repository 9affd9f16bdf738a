package claim

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KeeperConfig configures the [Keeper] of one resource on one instance.
type KeeperConfig struct {
	Self     platform.InstanceID
	Resource Resource
	// TakeoverAfter is how long the holder must have been considered dead before
	// the keeper claims the resource.
	TakeoverAfter time.Duration
	// RetryAfter is the minimum time between two claims of this keeper, so that
	// it does not repeat a claim that is still on its way to the log.
	RetryAfter time.Duration
}

// View is the input of [Keeper.Step]: this instance's view of the resource and of
// its peers.
type View struct {
	// Holding is the state of the resource in this instance's fold.
	Holding Holding
	// CaughtUp reports whether the fold has reached the end of the stream since
	// the instance started.
	CaughtUp bool
	// IsLive reports whether an instance is considered alive.
	IsLive func(platform.InstanceID) bool
	// Rank is this instance's rank, from 0, among the live instances that may
	// claim the resource.
	Rank int
	// Leaving reports whether this instance is shutting down.
	Leaving bool
}

// Keeper decides when its instance claims a resource and when it releases it.
// It is not safe for concurrent use.
type Keeper struct {
	cfg             KeeperConfig
	lastClaim       time.Time // time of this keeper's last claim
	releasedFencing uint64    // fencing number of the last release entry
	// deadFencing is the fencing number of the holder that has been considered
	// dead since deadSince; 0 if there is none.
	deadFencing uint64
	deadSince   time.Time
}

// NewKeeper returns a keeper that has not claimed its resource.
func NewKeeper(cfg KeeperConfig) *Keeper { return &Keeper{cfg: cfg} }

// Step returns the entry to append now, and whether there is one. A claim that did
// not reach the log may be dropped: after RetryAfter, a later step returns another.
// If a release was not appended, call [Keeper.ReleaseFailed].
func (k *Keeper) Step(now time.Time, view View) (platform.Entry, bool, error) {
	if k.holds(view.Holding) {
		return k.release(view)
	}
	if view.Leaving || !view.CaughtUp || !k.canClaim(now, view) || view.Rank != 0 {
		return platform.Entry{}, false, nil
	}
	if !k.lastClaim.IsZero() && now.Sub(k.lastClaim) < k.cfg.RetryAfter {
		return platform.Entry{}, false, nil
	}
	k.lastClaim = now
	return k.entry(KindClaim, view.Holding.Fencing, Claim{
		Resource: k.cfg.Resource,
		Previous: view.Holding.Fencing,
	})
}

// ReleaseFailed records that the release entry was not appended, so that the next
// step returns it again.
func (k *Keeper) ReleaseFailed() { k.releasedFencing = 0 }

func (k *Keeper) holds(h Holding) bool {
	return h.Fencing != 0 && h.Holder == k.cfg.Self && !h.Released
}

func (k *Keeper) release(view View) (platform.Entry, bool, error) {
	if !view.Leaving || k.releasedFencing == view.Holding.Fencing {
		return platform.Entry{}, false, nil
	}
	k.releasedFencing = view.Holding.Fencing
	return k.entry(KindRelease, view.Holding.Fencing, Release{
		Resource: k.cfg.Resource,
		Fencing:  view.Holding.Fencing,
	})
}

// canClaim reports whether the resource is not held or its holder has been
// considered dead for TakeoverAfter. The time starts again with each new holder.
func (k *Keeper) canClaim(now time.Time, view View) bool {
	h := view.Holding
	if h.Fencing == 0 || h.Released {
		return true
	}
	if view.IsLive(h.Holder) {
		k.deadFencing = 0
		return false
	}
	if k.deadFencing != h.Fencing {
		k.deadFencing, k.deadSince = h.Fencing, now
	}
	return now.Sub(k.deadSince) >= k.cfg.TakeoverAfter
}

// entry encodes a claim or release. The ID contains the fencing number, so it
// repeats only if the keeper repeats the same claim or release.
func (k *Keeper) entry(kind platform.Kind, fencing uint64, body any) (platform.Entry, bool, error) {
	id := fmt.Sprintf("%s/%s/%s/%d", kind, k.cfg.Resource, k.cfg.Self, fencing)
	entry, err := platform.NewEntry(id, kind, k.cfg.Self, body)
	if err != nil {
		return platform.Entry{}, false, eris.Wrap(err, "claim: encode entry")
	}
	return entry, true, nil
}
