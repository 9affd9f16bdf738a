package outbox

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// BatchID numbers the appends and read-backs of one outbox.
type BatchID uint64

// Event is an input of [Outbox.Step]. The types are [Tick], [AppendResult],
// [ReadResult], [EndReached], [Delegated] and [Forwarded].
type Event interface{ isEvent() }

// Tick reports that time has passed.
type Tick struct{}

// AppendResult is the result of an [Append] effect.
type AppendResult struct {
	Batch  BatchID
	Offset platform.Offset
	// Err is nil, platform.ErrUnavailable or platform.ErrOutcomeUnknown. Any
	// other error is handled like ErrOutcomeUnknown.
	Err error
}

// ReadResult is the result of a [ReadBack] effect.
type ReadResult struct {
	Batch BatchID
	// Found lists the requested IDs that the stream contains.
	Found []string
	// Complete reports whether the stream was read to its end.
	Complete bool
	// Next is the offset after the last record that was read; 0 if unknown.
	Next platform.Offset
	Err  error
}

// EndReached reports that the stream has reached the offset Next. Read-backs for
// entries appended later can skip the records before it.
type EndReached struct{ Next platform.Offset }

// Delegated sets whether another instance appends for this one. While it does,
// this outbox appends only if its oldest entry was not settled within
// [Config].AppenderTimeout.
type Delegated struct{ Active bool }

// Forwarded reports that the entries are about to be sent to another instance,
// which may append them. It must precede the sending.
type Forwarded struct{ IDs []string }

func (Tick) isEvent()         {}
func (AppendResult) isEvent() {}
func (ReadResult) isEvent()   {}
func (EndReached) isEvent()   {}
func (Delegated) isEvent()    {}
func (Forwarded) isEvent()    {}

// Effect is an action that the caller must carry out. The types are [Append],
// [ReadBack] and [Settled].
type Effect interface{ isEffect() }

// Append appends the entries, in order, as one record.
type Append struct {
	Batch   BatchID
	Entries []platform.Entry
}

// ReadBack reads the stream from the offset From and searches it for the IDs.
// If From is no longer retained, the read starts at the first retained record.
type ReadBack struct {
	Batch BatchID
	From  platform.Offset
	IDs   []string
}

// Settled reports that the entries are in the log and no longer in the outbox.
type Settled struct {
	IDs []string
}

func (Append) isEffect()   {}
func (ReadBack) isEffect() {}
func (Settled) isEffect()  {}
