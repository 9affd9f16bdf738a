// Package outbox brings entries into a stream of the platform's log, by group
// commit with one append in flight.
package outbox

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// ErrFull reports that the outbox holds as many entries as it may.
var ErrFull = eris.New("outbox: full")

// Config bounds an outbox.
type Config struct {
	// MaxEntries and MaxBytes bound what is held until the log has it.
	MaxEntries int
	MaxBytes   int
	// MinInterval is the least time between the starts of two appends.
	MinInterval time.Duration
	// RetryBase and RetryCap bound the pause after a failed append. The pause
	// doubles from failure to failure and carries jitter.
	RetryBase time.Duration
	RetryCap  time.Duration
}

// BatchID numbers the append attempts of one outbox.
type BatchID uint64

// Event is something that happened. The types are [Tick], [AppendResult] and
// [ReadResult].
type Event interface{ isEvent() }

// Tick says that time has passed.
type Tick struct{}

// AppendResult is the answer to an [Append] effect.
type AppendResult struct {
	Batch  BatchID
	Offset platform.Offset
	// Err is nil, platform.ErrUnavailable or platform.ErrOutcomeUnknown.
	Err error
}

// ReadResult is the answer to a [ReadBack] effect.
type ReadResult struct {
	Batch BatchID
	// Found lists the IDs that the stream holds.
	Found []string
	// Complete tells whether the stream was read to its end.
	Complete bool
	Err      error
}

func (Tick) isEvent()         {}
func (AppendResult) isEvent() {}
func (ReadResult) isEvent()   {}

// Effect is something for the caller to do. The types are [Append],
// [ReadBack] and [Settled].
type Effect interface{ isEffect() }

// Append asks for one append of the entries, in order.
type Append struct {
	Batch   BatchID
	Entries []platform.Entry
}

// ReadBack asks to read the stream from the offset on and to look for the IDs.
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
