package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

const recordsPerPage = 500

// ErrNoSnapshot reports a stream whose first records are no longer retained and
// that contains no complete snapshot.
var ErrNoSnapshot = eris.New("control: first records are no longer retained and no complete snapshot was found")

// Reader folds the control stream. It is not safe for concurrent use.
type Reader struct {
	log        platform.Log
	fold       *config.Fold
	stream     *fold.Stream
	events     []Event
	recordTime time.Time // when the record being folded was appended
}

// NewReader returns a reader at the start of the stream.
func NewReader(log platform.Log) *Reader {
	r := &Reader{log: log}
	r.fold = config.NewFold(document.Validate, r.addVerdict)
	r.stream = fold.NewStream(&observedFold{Fold: r.fold, onEntry: r.addEntry})
	return r
}

// observedFold passes each entry to onEntry before the configuration's fold
// applies it.
type observedFold struct {
	*config.Fold
	onEntry func(platform.Position, platform.Entry)
}

// Apply implements fold.Part.
func (f *observedFold) Apply(position platform.Position, entry platform.Entry) {
	f.onEntry(position, entry)
	f.Fold.Apply(position, entry)
}

// Document returns the document in force after the records read so far.
func (r *Reader) Document() *config.Document { return r.fold.Document() }

// Events returns the audit trail of the records read so far, oldest first.
// Records that were skipped by restoring a snapshot are not in it.
func (r *Reader) Events() []Event { return r.events }

// Verdict returns the verdict on the proposal with the entry ID, if it has been
// read.
func (r *Reader) Verdict(entryID string) (config.Verdict, bool) {
	for _, event := range r.events {
		if event.Verdict != nil && event.Verdict.EntryID == entryID {
			return *event.Verdict, true
		}
	}
	return config.Verdict{}, false
}

// CatchUp reads to the current end of the stream. If the next records are no
// longer retained, it restores a snapshot first. It returns the errors of the
// log, [ErrNoSnapshot], and those of a snapshot that cannot be restored.
func (r *Reader) CatchUp(ctx context.Context) error {
	for {
		page, err := r.log.Read(ctx, platform.StreamControl, r.stream.Next(), recordsPerPage)
		if eris.Is(err, platform.ErrTruncated) {
			if err := r.restore(ctx, page.First); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		r.apply(page.Records)
		if r.stream.Next() >= page.End {
			return nil
		}
	}
}

func (r *Reader) apply(records []platform.Record) {
	for _, record := range records {
		r.recordTime = record.Time
		r.stream.Apply(record)
	}
}

// restore reads the stream from the offset first to its current end, restores the
// newest complete snapshot in it, and folds the records after the snapshot.
func (r *Reader) restore(ctx context.Context, first platform.Offset) error {
	assembler := fold.NewAssembler()
	var records []platform.Record
	for next := first; ; {
		page, err := r.log.Read(ctx, platform.StreamControl, next, recordsPerPage)
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			assembler.Add(record)
		}
		records = append(records, page.Records...)
		next = page.Next
		if next >= page.End {
			break
		}
	}
	if err := r.restoreNewest(assembler); err != nil {
		return err
	}
	r.apply(records)
	return nil
}

// restoreNewest restores the newest complete snapshot of the assembler.
func (r *Reader) restoreNewest(assembler *fold.Assembler) error {
	encoded, _, ok := assembler.Newest()
	if !ok {
		return ErrNoSnapshot
	}
	snapshot, err := fold.DecodeSnapshot(encoded)
	if err != nil {
		return err
	}
	return r.stream.Restore(snapshot)
}

func (r *Reader) addVerdict(verdict config.Verdict) {
	r.events = append(r.events, Event{
		Time:     r.recordTime,
		Position: verdict.Position,
		Kind:     config.KindProposal,
		Author:   verdict.Author,
		Subject:  "section/" + string(verdict.Section),
		Action:   string(verdict.Result),
		Reason:   verdict.Reason,
		Verdict:  &verdict,
	})
}

func (r *Reader) addEntry(position platform.Position, entry platform.Entry) {
	subject, action, reason, ok := describeAutomatic(entry)
	if !ok {
		return
	}
	r.events = append(r.events, Event{
		Time:     r.recordTime,
		Position: position,
		Kind:     entry.Kind,
		Author:   string(entry.Writer),
		Subject:  subject,
		Action:   action,
		Reason:   reason,
	})
}
