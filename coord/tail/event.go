package tail

import (
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// ReadID identifies a read of one tailer. IDs start at 1.
type ReadID uint64

// Event is an input of [Tailer.Step]. The types are [Tick], [PeersUpdated],
// [LogPage], [LogFailed], [PeerPage], [PeerFailed] and [SnapshotResult].
type Event interface{ isEvent() }

// Tick advances the clock. The caller should send it a few times a second.
type Tick struct{}

// PeerOffset is a live peer that can serve as a source.
type PeerOffset struct {
	ID   platform.InstanceID
	Zone platform.Zone
	// Next is the next offset that the peer needs, as reported in its digest.
	Next platform.Offset
}

// PeersUpdated replaces the list of known peers.
type PeersUpdated struct {
	// Readers are the live instances of the local zone, including self, in
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
	// Truncated reports that the [ReadLog] starts below First, the lowest
	// retained offset.
	Truncated bool
	First     platform.Offset
}

// PeerPage is the answer to a [ReadPeer] effect.
type PeerPage struct {
	Read    ReadID
	Records []platform.Record
	// Next is the next offset that the peer itself needs.
	Next platform.Offset
	// Snapshot, if not empty, is an encoded fold.Snapshot that replaces all
	// records below SnapshotNext.
	Snapshot     []byte
	SnapshotNext platform.Offset
}

// PeerFailed is the failure of a [ReadPeer] effect.
type PeerFailed struct {
	Read ReadID
}

// SnapshotResult is the answer to a [DeliverSnapshot] effect.
type SnapshotResult struct {
	// Next is the fold's next offset after the restore.
	Next platform.Offset
	// Refused reports that the fold rejected the snapshot.
	Refused bool
}

func (Tick) isEvent()           {}
func (PeersUpdated) isEvent()   {}
func (LogPage) isEvent()        {}
func (LogFailed) isEvent()      {}
func (PeerPage) isEvent()       {}
func (PeerFailed) isEvent()     {}
func (SnapshotResult) isEvent() {}

// Effect is an action for the caller to carry out. The types are [ReadLog],
// [ReadPeer], [Deliver] and [DeliverSnapshot].
type Effect interface{ isEffect() }

// ReadLog requests one read of the log, answered by [LogPage] or [LogFailed].
type ReadLog struct {
	Read  ReadID
	From  platform.Offset
	Limit int
	// Wait is how long the log may wait for the first record; 0 requests an
	// immediate answer.
	Wait time.Duration
}

// ReadPeer requests records from a peer, answered by [PeerPage] or [PeerFailed].
type ReadPeer struct {
	Read  ReadID
	Peer  platform.InstanceID
	From  platform.Offset
	Limit int
}

// Deliver requests that the records are applied to the fold, in order.
type Deliver struct {
	Records []platform.Record
}

// DeliverSnapshot requests that the fold is restored from an encoded
// fold.Snapshot. The caller must pass the [SnapshotResult] to Step before any
// other event.
type DeliverSnapshot struct {
	Snapshot []byte
	Next     platform.Offset
}

func (ReadLog) isEffect()         {}
func (ReadPeer) isEffect()        {}
func (Deliver) isEffect()         {}
func (DeliverSnapshot) isEffect() {}
