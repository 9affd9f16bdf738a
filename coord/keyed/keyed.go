// Package keyed defines the interface of a log with compacted topics, which keep
// at least the newest record of each key, and a state machine that follows such a
// topic.
//
// A [Log] orders the records of a topic by offset. Older records may be removed at
// any time; only the newest record of each key is kept for certain. [State]
// therefore loads a snapshot of the newest records and then applies the records
// after it.
package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Offset numbers the records of a topic from 0.
type Offset uint64

// Topic is the name of a topic.
type Topic string

// Record is one record of a topic. An empty value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Era numbers the histories of a log. It rises when the log is restored from an older
// copy: the records since the copy are lost, and their offsets are given out again.
type Era uint64

// Position is a place between the records of a topic. Offsets of different eras must not
// be compared.
type Position struct {
	Era    Era
	Offset Offset
}

// Page is the result of one read of a [Log].
type Page struct {
	Records []Record
	// Next is the position to read from after this page.
	Next Position
	// End is the offset after the topic's last record at the time of the read, 0 if the page is known
	// to end there.
	End Offset
}

// ReachesEnd reports whether the page goes to the end of the topic. One that does not is only a part
// of what was to be read, and does not show that the state after it is the topic's.
func (p Page) ReachesEnd() bool { return p.Next.Offset >= p.End }

// ErrTruncated reports that the records at a position are no longer retained, or that
// the era of the position has ended. The reader must start again from [Log.Newest].
var ErrTruncated = eris.New("keyed: records are no longer retained")

// ErrConflict reports that the topic does not end at the position that the writer
// expected.
var ErrConflict = eris.New("keyed: topic does not end at the expected offset")

// Log is a log of keyed topics. The answer of a call may be lost after the call has
// taken effect, and a call without an answer may still take effect later.
type Log interface {
	// Newest returns the newest record of each key. A read from the page's Next
	// misses no record that is appended during or after the call.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Read returns the records from the given position on. If there is none, it waits
	// for one up to the given time, and then returns a page without records. A page may
	// hold only the first of the records, see [Page.ReachesEnd]. It returns
	// [ErrTruncated] if it cannot read from the position.
	Read(ctx context.Context, topic Topic, from Position, wait time.Duration) (Page, error)
	// AppendAt appends a record at the given position if the topic ends there, and
	// returns [ErrConflict] otherwise. An append that is executed late, after the end of
	// its era, may succeed at the same offset of a later one.
	AppendAt(ctx context.Context, topic Topic, at Position, key string, value []byte) error
}
