package platform

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of the platform's services.
var (
	// ErrUnavailable reports a call that certainly had no effect.
	ErrUnavailable = eris.New("platform: service unavailable, the call had no effect")
	// ErrOutcomeUnknown reports a call that may have taken effect, or may
	// still take effect.
	ErrOutcomeUnknown = eris.New("platform: outcome of the call unknown")
	// ErrTruncated reports a read below the first retained offset.
	ErrTruncated = eris.New("platform: records passed out of retention")
)

// Stream names one append-only sequence of records.
type Stream string

// Streams of the system.
const (
	// StreamControl carries all that every instance folds: proposals of
	// configuration, verdicts on roll-outs, suspects, claims, snapshots.
	StreamControl Stream = "control"
	// StreamIntents carries intents and outcomes of calls that run at most once.
	StreamIntents Stream = "intents"
	// StreamBills carries bills. Instances append to it and read back only
	// what they must settle.
	StreamBills Stream = "bills"
	// StreamSessions carries the births of sessions.
	StreamSessions Stream = "sessions"
)

// Page is a run of consecutive records of one stream.
type Page struct {
	// Records are in offset order. They may be empty.
	Records []Record `json:"records"`
	// First is the lowest retained offset.
	First Offset `json:"first"`
	// Next is the offset to read from next; the end of the stream if Records
	// reaches it.
	Next Offset `json:"next"`
	// End is the offset that the next append will get.
	End Offset `json:"end"`
}

// Log is the platform's append-only log service. Every call may be slow, fail,
// or take effect and lose its answer.
type Log interface {
	// Append adds one record. The errors are [ErrUnavailable] (no effect) and
	// [ErrOutcomeUnknown].
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)
	// Read returns at most limit records from the offset on, waiting for the
	// first of them as long as the service allows. The errors are
	// [ErrUnavailable] and [ErrTruncated]; with the latter the page's First
	// is valid.
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Page, error)
}
