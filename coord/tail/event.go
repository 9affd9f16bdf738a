package tail

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// ReadID numbers the reads of one tailer.
type ReadID uint64

// Event is something that happened. The types are [Tick], [PeersSeen],
// [LogPage], [LogFailed], [PeerPage], [PeerFailed] and [SnapshotResult].
type Event interface{ isEvent() }

// Tick says that time has passed. It should come a few times a second.
type Tick struct{}

// PeerOffset is a live peer that may serve as a source.
type PeerOffset struct {
	ID   platform.InstanceID
	Zone platform.Zone
	// Next is the offset that the peer said it wants next.
	Next platform.Offset
}

// PeersSeen replaces what is known of peers.
type PeersSeen struct {
	// Readers are the live instances of the own zone, self included, in
	// order of rank. The first [Config.Readers] of them read the log.
	Readers []platform.InstanceID
	// Sources are the live peers of all zones, without self.
	Sources []PeerOffset
}

// LogPage is the answer to a [ReadLog] effect.
type LogPage struct {
	Read ReadID
	Page platform.Page
}

// LogFailed is the failure of a [ReadLog] effect.
type LogFailed struct {
	Read ReadID
	// Truncated tells that the offset is below First, the lowest retained.
	Truncated bool
	First     platform.Offset
}

// PeerPage is the answer to a [ReadPeer] effect.
type PeerPage struct {
	Read    ReadID
	Records []platform.Record
	// Next is the offset that the peer wants next itself.
	Next platform.Offset
	// Snapshot, if not empty, is a fold.Snapshot's encoding that stands for
	// all records below SnapshotNext.
	Snapshot     []byte
	SnapshotNext platform.Offset
}

// PeerFailed is the failure of a [ReadPeer] effect.
type PeerFailed struct {
	Read ReadID
}

// SnapshotResult is the answer to a [DeliverSnapshot] effect.
type SnapshotResult struct {
	// Next is the fold's next offset after the attempt.
	Next platform.Offset
	// Refused tells that the fold did not take the snapshot.
	Refused bool
}

func (Tick) isEvent()           {}
func (PeersSeen) isEvent()      {}
func (LogPage) isEvent()        {}
func (LogFailed) isEvent()      {}
func (PeerPage) isEvent()       {}
func (PeerFailed) isEvent()     {}
func (SnapshotResult) isEvent() {}

// Effect is something for the caller to do. The types are [ReadLog],
// [ReadPeer], [Deliver] and [DeliverSnapshot].
type Effect interface{ isEffect() }

// ReadLog asks for one read of the log, answered by [LogPage] or [LogFailed].
type ReadLog struct {
	Read  ReadID
	From  platform.Offset
	Limit int
	// Wait is how long the service may wait for a first record; 0 for an
	// answer at once.
	Wait time.Duration
}

// ReadPeer asks a peer for records, answered by [PeerPage] or [PeerFailed].
type ReadPeer struct {
	Read  ReadID
	Peer  platform.InstanceID
	From  platform.Offset
	Limit int
}

// Deliver asks to apply the records to the fold, in order.
type Deliver struct {
	Records []platform.Record
}

// DeliverSnapshot asks to restore the fold from a fold.Snapshot's encoding. The
// caller answers by a [SnapshotResult] before anything else.
type DeliverSnapshot struct {
	Snapshot []byte
	Next     platform.Offset
}

func (ReadLog) isEffect()         {}
func (ReadPeer) isEffect()        {}
func (Deliver) isEffect()         {}
func (DeliverSnapshot) isEffect() {}
