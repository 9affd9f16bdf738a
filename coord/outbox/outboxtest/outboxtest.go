// Package outboxtest is a log service in memory, without a clock, whose
// answers a test decides one by one: it is the other side of an outbox in
// tests of the state machines that write to the platform's log.
package outboxtest

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Fault is what becomes of one call of the log.
type Fault uint8

// Faults of an append. A read-back fails with all but None.
const (
	None        Fault = iota // takes effect and is answered
	Unavailable              // has no effect, and the answer says so
	LostAfter                // takes effect, the answer is lost
	LostBefore               // has no effect, the answer is lost
	LostLate                 // the answer is lost, the effect comes later
)

// Faults lists all faults.
func Faults() []Fault { return []Fault{None, Unavailable, LostAfter, LostBefore, LostLate} }

// Log is one stream.
type Log struct {
	records []platform.Record
	first   platform.Offset
	late    [][]byte
	// Appends counts the calls that asked for an append.
	Appends int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{first: 1} }

// End returns the offset of the next record.
func (l *Log) End() platform.Offset { return platform.Offset(len(l.records) + 1) }

// First returns the lowest retained offset.
func (l *Log) First() platform.Offset { return l.first }

// Truncate lets the records below the offset pass out of retention.
func (l *Log) Truncate(first platform.Offset) { l.first = max(l.first, min(first, l.End())) }

// Read returns up to limit retained records from the offset on.
func (l *Log) Read(from platform.Offset, limit int) []platform.Record {
	from = min(max(from, l.first), l.End())
	records := l.records[from-1:]
	return records[:min(limit, len(records))]
}

// All returns every record that was ever appended.
func (l *Log) All() []platform.Record { return l.records }

// IDs counts the entries that were ever appended, by ID.
func (l *Log) IDs() map[string]int {
	counts := map[string]int{}
	for _, record := range l.records {
		entries, _ := platform.DecodeEntries(record.Payload)
		for _, entry := range entries {
			counts[entry.ID]++
		}
	}
	return counts
}

// Append adds a record.
func (l *Log) Append(payload []byte) platform.Offset {
	offset := l.End()
	l.records = append(l.records, platform.Record{Offset: offset, Payload: payload})
	return offset
}

// Late returns the number of appends whose effect is still to come.
func (l *Log) Late() int { return len(l.late) }

// Land lets the i-th late append take effect.
func (l *Log) Land(i int) {
	l.Append(l.late[i])
	l.late = slices.Delete(l.late, i, i+1)
}

// Writer joins an outbox to a log.
type Writer struct {
	Box *outbox.Outbox
	Log *Log
	// OnSettled, if not nil, is told what the outbox settles.
	OnSettled func(ids []string)
	// ReadLimit bounds the records of one read-back answer; 0 is no bound.
	ReadLimit int

	append *outbox.Append
	read   *outbox.ReadBack
}

// Step hands an event to the outbox. Calls of the log wait for [Writer.Answer].
func (w *Writer) Step(now time.Time, event outbox.Event) {
	w.Do(w.Box.Step(now, event))
}

// Do carries out effects of the outbox.
func (w *Writer) Do(effects []outbox.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case outbox.Append:
			w.append = &effect
			w.Log.Appends++
		case outbox.ReadBack:
			w.read = &effect
		case outbox.Settled:
			if w.OnSettled != nil {
				w.OnSettled(effect.IDs)
			}
		}
	}
}

// Waiting tells whether a call of the log waits for its answer.
func (w *Writer) Waiting() bool { return w.append != nil || w.read != nil }

// Sought returns the IDs that the read-back in flight looks for; nil if there
// is none.
func (w *Writer) Sought() []string {
	if w.read == nil {
		return nil
	}
	return w.read.IDs
}

// Answer answers the call that waits, if there is one.
func (w *Writer) Answer(now time.Time, fault Fault) {
	switch {
	case w.append != nil:
		w.answerAppend(now, fault)
	case w.read != nil:
		w.answerRead(now, fault)
	}
}

func (w *Writer) answerAppend(now time.Time, fault Fault) {
	request := *w.append
	w.append = nil
	payload, err := platform.EncodeEntries(request.Entries)
	if err != nil {
		panic(err)
	}
	result := outbox.AppendResult{Batch: request.Batch, Err: platform.ErrOutcomeUnknown}
	switch fault {
	case None:
		result.Offset, result.Err = w.Log.Append(payload), nil
	case Unavailable:
		result.Err = platform.ErrUnavailable
	case LostAfter:
		w.Log.Append(payload)
	case LostLate:
		w.Log.late = append(w.Log.late, payload)
	}
	w.Step(now, result)
}

func (w *Writer) answerRead(now time.Time, fault Fault) {
	request := *w.read
	w.read = nil
	if fault != None {
		w.Step(now, outbox.ReadResult{Batch: request.Batch, Err: platform.ErrUnavailable})
		return
	}
	limit := w.ReadLimit
	if limit == 0 {
		limit = len(w.Log.records)
	}
	next := max(request.From, w.Log.first)
	result := outbox.ReadResult{Batch: request.Batch}
	for _, record := range w.Log.Read(request.From, limit) {
		next = record.Offset + 1
		entries, _ := platform.DecodeEntries(record.Payload)
		for _, entry := range entries {
			if slices.Contains(request.IDs, entry.ID) {
				result.Found = append(result.Found, entry.ID)
			}
		}
	}
	result.Next, result.Complete = next, next == w.Log.End()
	w.Step(now, result)
}
