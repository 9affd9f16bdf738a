package fold

import (
	"cmp"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KeeperConfig sets when snapshots are due. Zero fields take the defaults of
// [DefaultKeeperConfig].
type KeeperConfig struct {
	// MaxRecords is the number of records since the last snapshot's base
	// that makes one due. It bounds what a fresh reader has to fold.
	MaxRecords uint64
	// MaxBytes is the size of those records, in bytes of payload, that makes
	// one due.
	MaxBytes int
	// MaxAge is the age of the last snapshot that makes one due. It must be
	// well below the log's retention.
	MaxAge time.Duration
	// Stagger is the delay per rank of instance.
	Stagger time.Duration
	// RetryAfter is the least time between two attempts of one instance.
	RetryAfter time.Duration
}

// DefaultKeeperConfig returns the periods in use, for a retention of a day or
// more.
func DefaultKeeperConfig() KeeperConfig {
	return KeeperConfig{
		MaxRecords: 1000,
		MaxBytes:   4 << 20,
		MaxAge:     2 * time.Hour,
		Stagger:    5 * time.Second,
		RetryAfter: time.Minute,
	}
}

// KeeperView is what the keeper is told of its stream.
type KeeperView struct {
	// Next is the stream's next offset.
	Next platform.Offset
	// SnapshotBase is [Stream.SnapshotBase].
	SnapshotBase platform.Offset
	// Bytes is [Stream.BytesSinceSnapshot].
	Bytes int
	// MismatchBase is [Stream.MismatchBase].
	MismatchBase platform.Offset
	// First is the log's lowest retained offset, 0 if unknown.
	First platform.Offset
}

// Keeper decides when this instance should append a snapshot. Any number of
// snapshots does no harm; the delay by rank keeps most instances from writing
// one that another has written meanwhile. It is not safe for concurrent use.
type Keeper struct {
	cfg       KeeperConfig
	base      platform.Offset
	baseAt    time.Time
	dueSince  time.Time
	attempted time.Time
}

// NewKeeper returns a keeper that has seen no snapshot. The age of the last
// snapshot counts from now.
func NewKeeper(now time.Time, cfg KeeperConfig) *Keeper {
	defaults := DefaultKeeperConfig()
	cfg = KeeperConfig{
		MaxRecords: cmp.Or(cfg.MaxRecords, defaults.MaxRecords),
		MaxBytes:   cmp.Or(cfg.MaxBytes, defaults.MaxBytes),
		MaxAge:     cmp.Or(cfg.MaxAge, defaults.MaxAge),
		Stagger:    cmp.Or(cfg.Stagger, defaults.Stagger),
		RetryAfter: cmp.Or(cfg.RetryAfter, defaults.RetryAfter),
	}
	return &Keeper{cfg: cfg, baseAt: now}
}

// Due reports whether this instance, of the given rank from 0, should append a
// snapshot now. It takes true as an attempt, whatever comes of it.
func (k *Keeper) Due(now time.Time, view KeeperView, rank int) bool {
	if view.SnapshotBase > k.base {
		k.base = view.SnapshotBase
		k.baseAt = now
		k.dueSince = time.Time{}
	}
	if !k.needed(now, view) {
		k.dueSince = time.Time{}
		return false
	}
	if k.dueSince.IsZero() {
		k.dueSince = now
	}
	if now.Sub(k.dueSince) < time.Duration(rank)*k.cfg.Stagger {
		return false
	}
	if !k.attempted.IsZero() && now.Sub(k.attempted) < k.cfg.RetryAfter {
		return false
	}
	k.attempted = now
	return true
}

// needed reports whether the last snapshot is long ago, in records or time, or
// superseded by one that differs, or the retention has come half way from its
// base to the end.
func (k *Keeper) needed(now time.Time, view KeeperView) bool {
	if view.Next <= 1 {
		return false
	}
	records := uint64(view.Next - min(k.base, view.Next))
	switch {
	case view.MismatchBase > k.base:
		return true
	case records >= k.cfg.MaxRecords || view.Bytes >= k.cfg.MaxBytes:
		return true
	case now.Sub(k.baseAt) >= k.cfg.MaxAge:
		return true
	}
	return view.First > 1 && view.First+(view.Next-min(view.First, view.Next))/2 > k.base
}
