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

const pageRecords = 500

// ErrNoSnapshot reports a stream whose beginning is gone and that holds no
// whole snapshot.
var ErrNoSnapshot = eris.New("control: records passed out of retention and no snapshot found")

// Reader folds the control stream. It is not safe for concurrent use.
type Reader struct {
	log    platform.Log
	fold   *config.Fold
	stream *fold.Stream
	events []Event
	time   time.Time // of the record being folded
}

// NewReader returns a reader at the start of the stream.
func NewReader(log platform.Log) *Reader {
	r := &Reader{log: log}
	r.fold = config.NewFold(document.Validate, r.addVerdict)
	r.stream = fold.NewStream(&tap{Fold: r.fold, onEntry: r.addEntry})
	return r
}

// tap is the configuration's fold, with a view of all entries that reach it.
type tap struct {
	*config.Fold
	onEntry func(platform.Position, platform.Entry)
}

// Apply implements fold.Part.
func (t *tap) Apply(position platform.Position, entry platform.Entry) {
	t.onEntry(position, entry)
	t.Fold.Apply(position, entry)
}

// Document returns the document in force at the end of what was read.
func (r *Reader) Document() *config.Document { return r.fold.Document() }

// Events returns the audit trail of what was read, oldest first. What came
// before a restored snapshot is not in it.
func (r *Reader) Events() []Event { return r.events }

// Verdict returns the verdict on a proposal's entry.
func (r *Reader) Verdict(entryID string) (config.Verdict, bool) {
	for _, event := range r.events {
		if event.Verdict != nil && event.Verdict.EntryID == entryID {
			return *event.Verdict, true
		}
	}
	return config.Verdict{}, false
}

// CatchUp reads to the present end of the stream. The errors are
// platform.ErrUnavailable, [ErrNoSnapshot] and the context's.
func (r *Reader) CatchUp(ctx context.Context) error {
	for {
		page, err := r.log.Read(ctx, platform.StreamControl, r.stream.Next(), pageRecords)
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
		r.time = record.Time
		r.stream.Apply(record)
	}
}

// restore looks for the newest snapshot among the retained records, and folds
// those that follow it.
func (r *Reader) restore(ctx context.Context, first platform.Offset) error {
	assembler := fold.NewAssembler()
	var records []platform.Record
	for from := first; ; {
		page, err := r.log.Read(ctx, platform.StreamControl, from, pageRecords)
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			assembler.Add(record)
		}
		records = append(records, page.Records...)
		from = page.Next
		if from >= page.End {
			break
		}
	}
	if err := r.take(assembler); err != nil {
		return err
	}
	r.apply(records)
	return nil
}

func (r *Reader) take(assembler *fold.Assembler) error {
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
		Time:     r.time,
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
	subject, action, reason, ok := automatic(entry)
	if !ok {
		return
	}
	r.events = append(r.events, Event{
		Time:     r.time,
		Position: position,
		Kind:     entry.Kind,
		Author:   string(entry.Writer),
		Subject:  subject,
		Action:   action,
		Reason:   reason,
	})
}
