package outbox

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// BatchID numbers the append attempts of one outbox.
type BatchID uint64

// Event is something that happened. The types are [Tick], [AppendResult],
// [ReadResult], [EndSeen], [Delegated] and [Forwarded].
type Event interface{ isEvent() }

// Tick says that time has passed.
type Tick struct{}

// AppendResult is the answer to an [Append] effect.
type AppendResult struct {
	Batch  BatchID
	Offset platform.Offset
	// Err is nil, platform.ErrUnavailable or platform.ErrOutcomeUnknown. Any
	// other error counts as the last.
	Err error
}

// ReadResult is the answer to a [ReadBack] effect.
type ReadResult struct {
	Batch BatchID
	// Found lists the IDs that the stream holds.
	Found []string
	// Complete tells whether the stream was read to its end.
	Complete bool
	// Next is the offset after the last record that was read; 0 if unknown.
	Next platform.Offset
	Err  error
}

// EndSeen says that the stream has reached the offset Next. It spares a later
// read-back the records before.
type EndSeen struct{ Next platform.Offset }

// Delegated says whether another instance appends for this one. While it
// does, an entry is appended here only if [Outbox.Observe] has not named it
// after [Config].Patience.
type Delegated struct{ Active bool }

// Forwarded says that another instance may have been given the entries, and
// may append them. It must come before they are sent.
type Forwarded struct{ IDs []string }

func (Tick) isEvent()         {}
func (AppendResult) isEvent() {}
func (ReadResult) isEvent()   {}
func (EndSeen) isEvent()      {}
func (Delegated) isEvent()    {}
func (Forwarded) isEvent()    {}

// Effect is something for the caller to do. The types are [Append],
// [ReadBack] and [Settled].
type Effect interface{ isEffect() }

// Append asks for one append of the entries, in order.
type Append struct {
	Batch   BatchID
	Entries []platform.Entry
}

// ReadBack asks to read the stream from the offset on and to look for the IDs.
// If From has passed out of retention, the read starts at the first record
// that is left.
type ReadBack struct {
	Batch BatchID
	From  platform.Offset
	IDs   []string
}

// Settled says that the entries are in the log and no longer held.
type Settled struct {
	IDs []string
}

func (Append) isEffect()   {}
func (ReadBack) isEffect() {}
func (Settled) isEffect()  {}
