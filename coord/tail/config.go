package tail

import (
	"cmp"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Config sets who reads and how often. Zero fields take the defaults of
// [DefaultConfig].
type Config struct {
	// Self is this instance.
	Self platform.InstanceID
	// Zone is this instance's availability zone.
	Zone platform.Zone
	// Seed seeds the jitter of pauses.
	Seed uint64
	// Readers is the number of instances of a zone that read the log.
	Readers int
	// PageRecords bounds the records asked for in one read.
	PageRecords int
	// LongPoll is how long a read of the log may wait for a first record.
	LongPoll time.Duration
	// ReadTimeout is the time after which a read counts as failed. A longer
	// wait of the log is added to it.
	ReadTimeout time.Duration
	// FollowInterval is the time between reads of a follower that hears of
	// nothing new.
	FollowInterval time.Duration
	// Silence is how long a follower goes without an answer from any source
	// before it reads the log.
	Silence time.Duration
	// ZoneProbe is the time in which, on average, one of the zone's followers
	// looks at the log itself, in case its readers are cut off from it.
	ZoneProbe time.Duration
	// HintLag is how long a peer may be ahead before a reader of the log reads
	// that peer as well.
	HintLag time.Duration
	// RetryBase and RetryCap bound the pause after a failed read. It doubles
	// from failure to failure, and jitter takes up to half of it off.
	RetryBase time.Duration
	RetryCap  time.Duration
	// SnapshotGap is the number of records to catch up with above which a
	// snapshot is looked for.
	SnapshotGap uint64
	// Bootstrap is how a fold far behind catches up.
	Bootstrap Bootstrap
}

// Bootstrap is a way to catch up over a long distance.
type Bootstrap string

// Ways to catch up.
const (
	// PeerFirst asks a peer for a snapshot, and looks for one in the log if
	// no peer gives one.
	PeerFirst Bootstrap = "peer"
	// SnapshotFirst looks for a snapshot in the log and does not ask peers.
	SnapshotFirst Bootstrap = "snapshot"
	// WholeLog reads all records while they are retained.
	WholeLog Bootstrap = "log"
)

// DefaultConfig returns the settings in use. Self, Zone and Seed are the
// caller's.
func DefaultConfig() Config {
	return Config{
		Readers:        2,
		PageRecords:    256,
		LongPoll:       10 * time.Second,
		ReadTimeout:    3 * time.Second,
		FollowInterval: 3 * time.Second,
		Silence:        6 * time.Second,
		ZoneProbe:      3 * time.Second,
		HintLag:        time.Second,
		RetryBase:      200 * time.Millisecond,
		RetryCap:       5 * time.Second,
		SnapshotGap:    1024,
		Bootstrap:      PeerFirst,
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	c.Readers = cmp.Or(c.Readers, defaults.Readers)
	c.PageRecords = cmp.Or(c.PageRecords, defaults.PageRecords)
	c.LongPoll = cmp.Or(c.LongPoll, defaults.LongPoll)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, defaults.ReadTimeout)
	c.FollowInterval = cmp.Or(c.FollowInterval, defaults.FollowInterval)
	c.Silence = cmp.Or(c.Silence, defaults.Silence)
	c.ZoneProbe = cmp.Or(c.ZoneProbe, defaults.ZoneProbe)
	c.HintLag = cmp.Or(c.HintLag, defaults.HintLag)
	c.RetryBase = cmp.Or(c.RetryBase, defaults.RetryBase)
	c.RetryCap = cmp.Or(c.RetryCap, defaults.RetryCap)
	c.SnapshotGap = cmp.Or(c.SnapshotGap, defaults.SnapshotGap)
	c.Bootstrap = cmp.Or(c.Bootstrap, defaults.Bootstrap)
	return c
}
