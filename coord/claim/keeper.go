package claim

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KeeperConfig describes one instance's interest in one resource.
type KeeperConfig struct {
	Self     platform.InstanceID
	Resource Resource
	// TakeoverAfter is how long the holder must have been believed dead.
	TakeoverAfter time.Duration
	// RetryAfter is the least time between two claims of this keeper, so that
	// a claim that is slow to reach the log is not written again.
	RetryAfter time.Duration
}

// View is what a keeper is told at each step.
type View struct {
	// Holding is the state in this instance's fold.
	Holding Holding
	// CaughtUp tells whether the fold has reached the end of the stream since
	// the instance started.
	CaughtUp bool
	// Live tells whether an instance is believed to be alive.
	Live func(platform.InstanceID) bool
	// Rank is this instance's place, from 0, among the live instances that
	// may take the resource.
	Rank int
	// Leaving says that this instance is shutting down.
	Leaving bool
}

// Keeper decides when its instance takes a resource and when it releases it.
// It is not safe for concurrent use.
type Keeper struct {
	cfg      KeeperConfig
	claimed  time.Time // time of the last claim
	released uint64    // fencing number that was released last
	// suspect is the fencing number whose holder is believed dead, since
	// the time given.
	suspect uint64
	since   time.Time
}

// NewKeeper returns a keeper that has not claimed.
func NewKeeper(cfg KeeperConfig) *Keeper { return &Keeper{cfg: cfg} }

// Step returns the entry to append now, if there is one. An entry that the
// log did not take may be dropped: a later step writes another.
func (k *Keeper) Step(now time.Time, view View) (platform.Entry, bool, error) {
	if k.holds(view.Holding) {
		return k.release(view)
	}
	if view.Leaving || !view.CaughtUp || !k.vacant(now, view) || view.Rank != 0 {
		return platform.Entry{}, false, nil
	}
	if !k.claimed.IsZero() && now.Sub(k.claimed) < k.cfg.RetryAfter {
		return platform.Entry{}, false, nil
	}
	k.claimed = now
	return k.entry(KindClaim, view.Holding.Fencing, Claim{
		Resource: k.cfg.Resource,
		Previous: view.Holding.Fencing,
	})
}

// ReleaseFailed says that the release entry was not taken, so that the next
// step writes it again.
func (k *Keeper) ReleaseFailed() { k.released = 0 }

func (k *Keeper) holds(h Holding) bool {
	return h.Fencing != 0 && h.Holder == k.cfg.Self && !h.Released
}

func (k *Keeper) release(view View) (platform.Entry, bool, error) {
	if !view.Leaving || k.released == view.Holding.Fencing {
		return platform.Entry{}, false, nil
	}
	k.released = view.Holding.Fencing
	return k.entry(KindRelease, view.Holding.Fencing, Release{
		Resource: k.cfg.Resource,
		Fencing:  view.Holding.Fencing,
	})
}

// vacant tells whether the resource may be taken. The time of belief starts
// again with each holder.
func (k *Keeper) vacant(now time.Time, view View) bool {
	h := view.Holding
	if h.Fencing == 0 || h.Released {
		return true
	}
	if view.Live(h.Holder) {
		k.suspect = 0
		return false
	}
	if k.suspect != h.Fencing {
		k.suspect, k.since = h.Fencing, now
	}
	return now.Sub(k.since) >= k.cfg.TakeoverAfter
}

// entry encodes a statement. Its ID repeats only if the keeper says the same
// thing again.
func (k *Keeper) entry(kind platform.Kind, fencing uint64, body any) (platform.Entry, bool, error) {
	id := fmt.Sprintf("%s/%s/%s/%d", kind, k.cfg.Resource, k.cfg.Self, fencing)
	entry, err := platform.NewEntry(id, kind, k.cfg.Self, body)
	if err != nil {
		return platform.Entry{}, false, eris.Wrap(err, "claim: keeper")
	}
	return entry, true, nil
}
