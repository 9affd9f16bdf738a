package backup

import "github.com/wigeonusher/wigeonusher/coord/platform"

// CopyID numbers the messages of one [Replicator].
type CopyID uint64

// Event is an input of [Replicator.Step]. The types are
// [CopyRequest], [CopyResult], [Logged], [Peers] and [Tick].
type Event interface{ isEvent() }

// CopyRequest requests backup copies of entries of one stream.
type CopyRequest struct {
	Stream  platform.Stream
	Entries []platform.Entry
}

// CopyResult is the result of a [Copy] effect.
type CopyResult struct {
	Copy CopyID
	// Stored is the number of entries, counted from the first, that the peer
	// has stored.
	Stored int
	// Failed reports that the message failed or the peer did not answer.
	Failed bool
}

// Logged reports the IDs of entries that are in the log.
type Logged struct{ IDs []string }

// Peers replaces the list of peers that may receive copies, in order of
// preference.
type Peers struct{ IDs []platform.InstanceID }

// Tick reports that time has passed.
type Tick struct{}

func (CopyRequest) isEvent() {}
func (CopyResult) isEvent()  {}
func (Logged) isEvent()      {}
func (Peers) isEvent()       {}
func (Tick) isEvent()        {}

// Effect is an action for the caller to perform. The types are [Copy] and
// [Release].
type Effect interface{ isEffect() }

// Copy is a message to a peer. It asks the peer to store backup copies of
// Entries and to remove those with the IDs in Settled. Either list may be empty.
type Copy struct {
	ID      CopyID
	To      platform.InstanceID
	Stream  platform.Stream
	Entries []platform.Entry
	Settled []string
}

// Release unblocks the caller that waits for copies of the entries.
type Release struct {
	IDs []string
	// Copied reports whether the entries are safe: a peer confirmed a copy or the
	// log has them. It is false if neither happened before the deadline, or if the
	// entries were not tracked because of [ReplicatorConfig.MaxTracked].
	Copied bool
}

func (Copy) isEffect()    {}
func (Release) isEffect() {}
