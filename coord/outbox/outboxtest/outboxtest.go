// Package outboxtest provides an in-memory log for tests of state machines that
// write to the platform's log through an outbox. It has no clock, and the test
// chooses the result of each call.
package outboxtest

import (
	"slices"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Fault is the result of one call to the log.
type Fault uint8

// Faults of an append. A read-back succeeds only with None.
const (
	None          Fault = iota // takes effect and is answered
	Unavailable                // has no effect; the answer is platform.ErrUnavailable
	AnswerLost                 // takes effect, but the answer is lost
	RequestLost                // has no effect and no answer
	AppendDelayed              // has no answer and takes effect later, see [Log.ApplyDelayed]
)

// Faults returns all faults.
func Faults() []Fault { return []Fault{None, Unavailable, AnswerLost, RequestLost, AppendDelayed} }

// Log is one stream of records.
type Log struct {
	records []platform.Record
	first   platform.Offset
	delayed [][]byte
	// AppendCalls counts the appends requested by writers, whatever their
	// result.
	AppendCalls int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{first: 1} }

// End returns the offset of the next record.
func (l *Log) End() platform.Offset { return platform.Offset(len(l.records) + 1) }

// First returns the lowest retained offset.
func (l *Log) First() platform.Offset { return l.first }

// Truncate ends the retention of the records below the offset.
func (l *Log) Truncate(first platform.Offset) { l.first = max(l.first, min(first, l.End())) }

// Read returns up to limit retained records, starting at the offset.
func (l *Log) Read(from platform.Offset, limit int) []platform.Record {
	from = min(max(from, l.first), l.End())
	records := l.records[from-1:]
	return records[:min(limit, len(records))]
}

// All returns every record that was ever appended.
func (l *Log) All() []platform.Record { return l.records }

// EntryCounts returns the number of times that each entry ID was appended.
func (l *Log) EntryCounts() map[string]int {
	counts := map[string]int{}
	for _, record := range l.records {
		entries, _ := platform.DecodeEntries(record.Payload)
		for _, entry := range entries {
			counts[entry.ID]++
		}
	}
	return counts
}

// Append appends a record and returns its offset.
func (l *Log) Append(payload []byte) platform.Offset {
	offset := l.End()
	l.records = append(l.records, platform.Record{Offset: offset, Payload: payload})
	return offset
}

// DelayedAppends returns the number of delayed appends that have not taken
// effect.
func (l *Log) DelayedAppends() int { return len(l.delayed) }

// ApplyDelayed lets the i-th delayed append take effect.
func (l *Log) ApplyDelayed(i int) {
	l.Append(l.delayed[i])
	l.delayed = slices.Delete(l.delayed, i, i+1)
}

// Writer connects an outbox to a log.
type Writer struct {
	Box *outbox.Outbox
	Log *Log
	// OnSettled, if not nil, is called with the IDs that the outbox settles.
	OnSettled func(ids []string)
	// ReadLimit bounds the records of one read-back; 0 means no bound.
	ReadLimit int

	append *outbox.Append
	read   *outbox.ReadBack
}

// Step passes an event to the outbox. Calls to the log are in flight until
// [Writer.Answer].
func (w *Writer) Step(now time.Time, event outbox.Event) {
	w.Do(w.Box.Step(now, event))
}

// Do carries out the effects of an outbox.
func (w *Writer) Do(effects []outbox.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case outbox.Append:
			w.append = &effect
			w.Log.AppendCalls++
		case outbox.ReadBack:
			w.read = &effect
		case outbox.Settled:
			if w.OnSettled != nil {
				w.OnSettled(effect.IDs)
			}
		}
	}
}

// HasCallInFlight reports whether a call to the log is in flight.
func (w *Writer) HasCallInFlight() bool { return w.append != nil || w.read != nil }

// ReadBackIDs returns the IDs that the read-back in flight searches for; nil if
// no read-back is in flight.
func (w *Writer) ReadBackIDs() []string {
	if w.read == nil {
		return nil
	}
	return w.read.IDs
}

// Answer completes the call in flight, if any, with the given fault.
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
	case AnswerLost:
		w.Log.Append(payload)
	case AppendDelayed:
		w.Log.delayed = append(w.Log.delayed, payload)
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
