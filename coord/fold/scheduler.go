package fold

import (
	"cmp"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// SchedulerConfig sets when snapshots are due. Zero fields take the defaults of
// [DefaultSchedulerConfig].
type SchedulerConfig struct {
	// MaxRecords makes a new snapshot due once this many records follow the
	// base of the last one. It bounds the records that a new reader has to
	// fold.
	MaxRecords uint64
	// MaxBytes makes a new snapshot due once the payloads of the records since
	// the last one have this total size, in bytes.
	MaxBytes int
	// MaxAge makes a new snapshot due once this time has passed since the
	// scheduler first saw the last one. It must be well below the log's
	// retention.
	MaxAge time.Duration
	// Stagger is the delay of a due snapshot per rank of the instance.
	Stagger time.Duration
	// RetryAfter is the minimum time between two attempts of one instance.
	RetryAfter time.Duration
}

// DefaultSchedulerConfig returns the default limits, for a log that retains
// records for a day or more.
func DefaultSchedulerConfig() SchedulerConfig {
	return SchedulerConfig{
		MaxRecords: 1000,
		MaxBytes:   4 << 20,
		MaxAge:     2 * time.Hour,
		Stagger:    5 * time.Second,
		RetryAfter: time.Minute,
	}
}

// SchedulerInput is the state of the stream and the log on which
// [SnapshotScheduler.Due] decides.
type SchedulerInput struct {
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

// SnapshotScheduler decides when this instance should append a snapshot.
// Redundant snapshots are harmless; because of the delay by rank, most instances
// see the snapshot of another one before their own is due. It is not safe for
// concurrent use.
type SnapshotScheduler struct {
	cfg           SchedulerConfig
	base          platform.Offset
	baseChangedAt time.Time
	dueSince      time.Time
	lastAttempt   time.Time
}

// NewSnapshotScheduler returns a scheduler that has seen no snapshot. Until it
// sees one, MaxAge counts from the given time.
func NewSnapshotScheduler(now time.Time, cfg SchedulerConfig) *SnapshotScheduler {
	defaults := DefaultSchedulerConfig()
	cfg = SchedulerConfig{
		MaxRecords: cmp.Or(cfg.MaxRecords, defaults.MaxRecords),
		MaxBytes:   cmp.Or(cfg.MaxBytes, defaults.MaxBytes),
		MaxAge:     cmp.Or(cfg.MaxAge, defaults.MaxAge),
		Stagger:    cmp.Or(cfg.Stagger, defaults.Stagger),
		RetryAfter: cmp.Or(cfg.RetryAfter, defaults.RetryAfter),
	}
	return &SnapshotScheduler{cfg: cfg, baseChangedAt: now}
}

// Due reports whether this instance, of the given rank counted from 0, should
// append a snapshot now. Returning true counts as an attempt, whether or not
// the append succeeds.
func (s *SnapshotScheduler) Due(now time.Time, input SchedulerInput, rank int) bool {
	if input.SnapshotBase > s.base {
		s.base = input.SnapshotBase
		s.baseChangedAt = now
		s.dueSince = time.Time{}
	}
	if !s.isNeeded(now, input) {
		s.dueSince = time.Time{}
		return false
	}
	if s.dueSince.IsZero() {
		s.dueSince = now
	}
	if now.Sub(s.dueSince) < time.Duration(rank)*s.cfg.Stagger {
		return false
	}
	if !s.lastAttempt.IsZero() && now.Sub(s.lastAttempt) < s.cfg.RetryAfter {
		return false
	}
	s.lastAttempt = now
	return true
}

// isNeeded reports whether a new snapshot is needed: the log has a newer one
// that differs from the stream's state, the last one is too old in records,
// bytes or time, or its base is below the middle of the retained records, so
// that truncation would soon reach it.
func (s *SnapshotScheduler) isNeeded(now time.Time, input SchedulerInput) bool {
	if input.Next <= 1 {
		return false
	}
	records := uint64(input.Next - min(s.base, input.Next))
	switch {
	case input.MismatchBase > s.base:
		return true
	case records >= s.cfg.MaxRecords || input.Bytes >= s.cfg.MaxBytes:
		return true
	case now.Sub(s.baseChangedAt) >= s.cfg.MaxAge:
		return true
	}
	return input.First > 1 && input.First+(input.Next-min(input.First, input.Next))/2 > s.base
}
