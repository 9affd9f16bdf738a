package fold

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Reason says why a stream reports something.
type Reason string

// Reasons of a [Report].
const (
	// RecordMalformed is a record that could not be decoded and was skipped.
	RecordMalformed Reason = "record malformed"
	// EntryRepeated is an entry whose ID came before and that was dropped.
	EntryRepeated Reason = "entry repeated"
	// SnapshotMalformed is a snapshot entry that could not be read.
	SnapshotMalformed Reason = "snapshot malformed"
	// SnapshotDamaged is a snapshot whose data do not have its digest.
	SnapshotDamaged Reason = "snapshot damaged"
	// SnapshotMismatched is a snapshot that differs from this instance's own
	// state at the snapshot's base.
	SnapshotMismatched Reason = "snapshot mismatched"
)

// Report is something that the stream skipped or found odd. Equal streams
// report alike.
type Report struct {
	Position platform.Position   `json:"position"`
	EntryID  string              `json:"entry_id,omitempty"`
	Writer   platform.InstanceID `json:"writer,omitempty"`
	Reason   Reason              `json:"reason"`
}

// Stream applies the records of one stream to parts, in order and each once.
// It is not safe for concurrent use.
type Stream struct {
	parts    []Part
	next     platform.Offset
	window   *window
	onReport func(Report)
	progress chunkProgress
	// bytes is the size of the records since the newest snapshot.
	bytes int
	// mismatch is the base of the newest snapshot that differed.
	mismatch platform.Offset
}

// NewStream returns a stream at its start, with the parts given.
func NewStream(parts ...Part) *Stream {
	return &Stream{
		parts:    parts,
		next:     1,
		window:   newWindow(),
		onReport: func(Report) {},
	}
}

// OnReport sets the function that gets reports.
func (s *Stream) OnReport(onReport func(Report)) { s.onReport = onReport }

// Next returns the offset of the record that the stream wants next.
func (s *Stream) Next() platform.Offset { return s.next }

// SnapshotBase returns the base of the newest snapshot known to be whole in
// the log, 0 if none.
func (s *Stream) SnapshotBase() platform.Offset { return s.progress.base }

// BytesSinceSnapshot returns the payload bytes of the records folded since the
// newest snapshot, or since a restore.
func (s *Stream) BytesSinceSnapshot() int { return s.bytes }

// MismatchBase returns the base of the newest snapshot in the log that was
// found to differ from the stream's state, 0 if none. A newer snapshot should
// supersede it soon.
func (s *Stream) MismatchBase() platform.Offset { return s.mismatch }

// Apply folds one record. It reports whether the record was the next one;
// others are ignored. A record that cannot be decoded is skipped whole.
func (s *Stream) Apply(record platform.Record) bool {
	if record.Offset != s.next {
		return false
	}
	s.bytes += len(record.Payload)
	entries, err := platform.DecodeEntries(record.Payload)
	if err != nil {
		s.onReport(Report{Position: platform.Position{Offset: record.Offset}, Reason: RecordMalformed})
	}
	for i, entry := range entries {
		s.applyEntry(platform.Position{Offset: record.Offset, Index: i}, entry)
	}
	s.next++
	return true
}

// Snapshot returns the whole state of the stream.
func (s *Stream) Snapshot() (Snapshot, error) {
	snapshot := Snapshot{Next: s.next, Window: s.window.encode(), LogBase: s.progress.base}
	for _, part := range s.parts {
		state, err := part.Snapshot()
		if err != nil {
			return Snapshot{}, eris.Wrapf(err, "fold: snapshot of part %s", part.Name())
		}
		snapshot.Parts = append(snapshot.Parts, PartState{Name: part.Name(), State: state})
	}
	return snapshot, nil
}

// Restore replaces the whole state by the snapshot's, or changes nothing. The
// errors are [ErrNotForward] for a snapshot that is not ahead of the stream or
// undoes what a part accepted, [ErrMalformedSnapshot], and [ErrPartMissing].
func (s *Stream) Restore(snapshot Snapshot) error {
	if snapshot.Next <= s.next {
		return eris.Wrapf(ErrNotForward, "snapshot at %d, stream at %d", snapshot.Next, s.next)
	}
	restored, err := decodeWindow(snapshot.Window)
	if err != nil {
		return err
	}
	if err := s.checkParts(snapshot); err != nil {
		return err
	}
	if err := s.restoreParts(snapshot); err != nil {
		return err
	}
	s.window = restored
	s.next = snapshot.Next
	s.bytes = 0
	s.progress = chunkProgress{base: max(s.progress.base, snapshot.LogBase)}
	return nil
}

func (s *Stream) applyEntry(position platform.Position, entry platform.Entry) {
	if entry.Kind == KindSnapshot {
		s.applyChunk(position, entry)
		return
	}
	if !s.window.add(entry.ID) {
		s.report(position, entry, EntryRepeated)
		return
	}
	for _, part := range s.parts {
		part.Apply(position, entry)
	}
}

// applyChunk notes a snapshot entry. It changes neither window nor parts, so
// an instance that folds it and one that restored it are equal.
func (s *Stream) applyChunk(position platform.Position, entry platform.Entry) {
	chunk, err := DecodeChunk(entry.Body)
	if err != nil {
		s.report(position, entry, SnapshotMalformed)
		return
	}
	if chunk.Base > position.Offset {
		s.report(position, entry, SnapshotMalformed)
		return
	}
	if chunk.Base == position.Offset && position.Index == 0 && !s.matches(chunk) {
		s.mismatch = chunk.Base
		s.report(position, entry, SnapshotMismatched)
		return
	}
	base := s.progress.base
	if !s.progress.add(chunk) {
		s.report(position, entry, SnapshotDamaged)
	}
	if s.progress.base > base {
		s.bytes = 0
	}
}

// matches compares the digest of a snapshot based at the stream's own offset.
func (s *Stream) matches(chunk Chunk) bool {
	snapshot, err := s.Snapshot()
	if err != nil {
		return false
	}
	snapshot.LogBase = 0
	encoded, err := snapshot.Encode()
	return err == nil && digestOf(sha256.Sum256(encoded)) == chunk.Digest
}

func (s *Stream) report(position platform.Position, entry platform.Entry, reason Reason) {
	s.onReport(Report{Position: position, EntryID: entry.ID, Writer: entry.Writer, Reason: reason})
}

func (s *Stream) checkParts(snapshot Snapshot) error {
	for _, part := range s.parts {
		state, ok := snapshot.part(part.Name())
		if !ok {
			return eris.Wrapf(ErrPartMissing, "part %s", part.Name())
		}
		checker, ok := part.(Checker)
		if !ok {
			continue
		}
		if err := checker.Check(state); err != nil {
			return eris.Wrapf(err, "fold: part %s", part.Name())
		}
	}
	return nil
}

// restoreParts restores all parts; on an error it puts back those already
// restored.
func (s *Stream) restoreParts(snapshot Snapshot) error {
	before, err := s.Snapshot()
	if err != nil {
		return err
	}
	for i, part := range s.parts {
		state, _ := snapshot.part(part.Name())
		if err := part.Restore(state); err != nil {
			s.putBack(before, i)
			return eris.Wrapf(ErrMalformedSnapshot, "part %s: %v", part.Name(), err)
		}
	}
	return nil
}

// putBack restores the first n parts to their own earlier state. A part that
// refuses its own snapshot breaks the contract of [Part].
func (s *Stream) putBack(before Snapshot, n int) {
	for i, part := range s.parts[:n] {
		if err := part.Restore(before.Parts[i].State); err != nil {
			panic("fold: part " + part.Name() + " refused its own snapshot: " + err.Error())
		}
	}
}
