package hold

import "github.com/wigeonusher/wigeonusher/coord/platform"

// CopyID numbers the messages of one [Replicator].
type CopyID uint64

// Event is something that happened at the sending side. The types are
// [Protect], [CopyResult], [Logged], [Peers] and [Tick].
type Event interface{ isEvent() }

// Protect asks for copies of entries of one stream.
type Protect struct {
	Stream  platform.Stream
	Entries []platform.Entry
}

// CopyResult is the answer to a [Copy] effect.
type CopyResult struct {
	Copy CopyID
	// Held is the number of entries, from the first, that the peer holds.
	Held int
	// Failed says that no answer was had.
	Failed bool
}

// Logged says that the log has the entries.
type Logged struct{ IDs []string }

// Peers replaces the list of peers that may hold copies, the preferred first.
type Peers struct{ IDs []platform.InstanceID }

// Tick says that time has passed.
type Tick struct{}

func (Protect) isEvent()    {}
func (CopyResult) isEvent() {}
func (Logged) isEvent()     {}
func (Peers) isEvent()      {}
func (Tick) isEvent()       {}

// Effect is something for the caller to do. The types are [Copy] and
// [Release].
type Effect interface{ isEffect() }

// Copy asks the peer To to hold the entries and to forget those settled. It
// may carry either alone.
type Copy struct {
	ID      CopyID
	To      platform.InstanceID
	Stream  platform.Stream
	Entries []platform.Entry
	Settled []string
}

// Release says that whatever waited for copies of the entries may go on.
type Release struct {
	IDs []string
	// Copied is false if no peer confirmed a copy before the deadline.
	Copied bool
}

func (Copy) isEffect()    {}
func (Release) isEffect() {}
