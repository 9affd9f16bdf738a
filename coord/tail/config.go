package tail

import (
	"cmp"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Config holds the settings of a [Tailer]. Zero fields take the defaults of
// [DefaultConfig].
type Config struct {
	// Self is this instance.
	Self platform.InstanceID
	// Zone is this instance's availability zone.
	Zone platform.Zone
	// Seed seeds the jitter of delays and the choice among peers.
	Seed uint64
	// Readers is the number of instances in each zone that read the log.
	Readers int
	// PageRecords bounds the records requested in one read.
	PageRecords int
	// LongPoll is how long a read of the log may wait for the first record.
	LongPoll time.Duration
	// ReadTimeout is the time after which a read counts as failed, in addition
	// to the wait that the read allows the log.
	ReadTimeout time.Duration
	// FollowInterval is the time between a follower's reads from a peer while
	// no peer reports new records. Jitter reduces it by up to half.
	FollowInterval time.Duration
	// SilenceTimeout is the time without an answer from any source after which
	// a follower reads the log.
	SilenceTimeout time.Duration
	// ZoneProbeInterval sets how often a follower reads the log itself, in case
	// the readers of its zone cannot reach it. Each follower does so after one
	// to two times this interval, multiplied by the number of live instances
	// in the zone.
	ZoneProbeInterval time.Duration
	// HintDelay is how long peers may be ahead before a reader of the log reads
	// from one of them as well.
	HintDelay time.Duration
	// RetryBase is the delay after a first failed read. It doubles with each
	// further failure up to RetryCap, and jitter reduces it by up to half.
	RetryBase time.Duration
	RetryCap  time.Duration
	// SnapshotGap is the number of missing records above which the tailer
	// looks for a snapshot.
	SnapshotGap uint64
	// Bootstrap is how a fold that is far behind catches up.
	Bootstrap Bootstrap
}

// Bootstrap is the strategy of a fold that is far behind.
type Bootstrap string

// Strategies to catch up.
const (
	// PeerFirst requests a snapshot from a peer, and searches the log if no
	// peer provides one.
	PeerFirst Bootstrap = "peer"
	// SnapshotFirst searches the log for a snapshot without waiting for one
	// from a peer.
	SnapshotFirst Bootstrap = "snapshot"
	// WholeLog reads all records, and searches the log for a snapshot only if
	// some of them are no longer retained.
	WholeLog Bootstrap = "log"
)

// DefaultConfig returns the default settings. The caller sets Self, Zone and
// Seed.
func DefaultConfig() Config {
	return Config{
		Readers:           2,
		PageRecords:       256,
		LongPoll:          10 * time.Second,
		ReadTimeout:       3 * time.Second,
		FollowInterval:    3 * time.Second,
		SilenceTimeout:    6 * time.Second,
		ZoneProbeInterval: 3 * time.Second,
		HintDelay:         time.Second,
		RetryBase:         200 * time.Millisecond,
		RetryCap:          5 * time.Second,
		SnapshotGap:       1024,
		Bootstrap:         PeerFirst,
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	c.Readers = cmp.Or(c.Readers, defaults.Readers)
	c.PageRecords = cmp.Or(c.PageRecords, defaults.PageRecords)
	c.LongPoll = cmp.Or(c.LongPoll, defaults.LongPoll)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, defaults.ReadTimeout)
	c.FollowInterval = cmp.Or(c.FollowInterval, defaults.FollowInterval)
	c.SilenceTimeout = cmp.Or(c.SilenceTimeout, defaults.SilenceTimeout)
	c.ZoneProbeInterval = cmp.Or(c.ZoneProbeInterval, defaults.ZoneProbeInterval)
	c.HintDelay = cmp.Or(c.HintDelay, defaults.HintDelay)
	c.RetryBase = cmp.Or(c.RetryBase, defaults.RetryBase)
	c.RetryCap = cmp.Or(c.RetryCap, defaults.RetryCap)
	c.SnapshotGap = cmp.Or(c.SnapshotGap, defaults.SnapshotGap)
	c.Bootstrap = cmp.Or(c.Bootstrap, defaults.Bootstrap)
	return c
}
