package platform

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of the platform's services.
var (
	// ErrUnavailable reports a call that certainly had no effect.
	ErrUnavailable = eris.New("platform: service unavailable, the call had no effect")
	// ErrOutcomeUnknown reports a call that may have taken effect or may still
	// do so.
	ErrOutcomeUnknown = eris.New("platform: outcome of the call unknown")
	// ErrTruncated reports a read below the first retained offset.
	ErrTruncated = eris.New("platform: records are no longer retained")
)

// Stream names one append-only sequence of records.
type Stream string

// Streams of the system.
const (
	// StreamControl carries the entries that every instance folds:
	// configuration proposals, roll-out verdicts, suspects, claims and
	// snapshots.
	StreamControl Stream = "control"
	// StreamIntents carries the intents and outcomes of calls that run at most
	// once.
	StreamIntents Stream = "intents"
	// StreamBills carries bills. Instances append to it and read back only the
	// bills that they must settle.
	StreamBills Stream = "bills"
	// StreamSessions carries the pin sets of sessions.
	StreamSessions Stream = "sessions"
)

// Page is a sequence of consecutive records of one stream.
type Page struct {
	// Records is in offset order and may be empty.
	Records []Record `json:"records"`
	// First is the lowest retained offset.
	First Offset `json:"first"`
	// Next is the offset at which the next read starts. It equals End if
	// Records reaches the end of the stream.
	Next Offset `json:"next"`
	// End is the offset of the next append.
	End Offset `json:"end"`
}

// Log is the platform's append-only log service. Any call may be slow, may fail,
// or may take effect although its answer is lost.
type Log interface {
	// Append appends one record and returns its offset. The errors are
	// [ErrUnavailable] (no effect) and [ErrOutcomeUnknown].
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)
	// Read returns records from the given offset on, at most as many as the limit.
	// It waits for the first of them as long as the service allows. The errors are
	// [ErrUnavailable] and [ErrTruncated]; the page's First is valid with
	// ErrTruncated.
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Page, error)
}
