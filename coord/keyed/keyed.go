// Package keyed is the port to a log whose topics keep the newest record of
// each key, and the pure parts that follow such a topic.
//
// A [Log] orders the records of a topic by offset. History may be dropped at
// any moment; the newest record of each key stays. [State] folds a topic from
// both: a snapshot of the newest records, then the records after it.
package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Offset numbers the records of a topic from 0.
type Offset uint64

// Topic names a topic.
type Topic string

// Record is one record. An empty value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Page is an answer of a [Log].
type Page struct {
	Records []Record
	// Next is the offset to read from after this page.
	Next Offset
}

// ErrTruncated reports that the records asked for are no longer kept. The
// reader starts again from [Log.Newest].
var ErrTruncated = eris.New("keyed: records are no longer kept")

// ErrConflict reports that the topic did not end where the writer expected.
var ErrConflict = eris.New("keyed: topic does not end at the expected offset")

// Log is a log of keyed topics. Answers may be lost after the action has taken
// effect, and a call without an answer may still take effect later.
type Log interface {
	// Newest returns the newest record of each key. Its Next is the earliest
	// offset from which no later record is missed.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Read returns records from an offset, and waits for a first one at most
	// the given time. No record is not an error.
	Read(ctx context.Context, topic Topic, from Offset, wait time.Duration) (Page, error)
	// AppendAt appends a record if the topic ends at the offset, otherwise it
	// returns [ErrConflict].
	AppendAt(ctx context.Context, topic Topic, at Offset, key string, value []byte) error
}
