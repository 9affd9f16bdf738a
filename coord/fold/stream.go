package fold

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Reason is the reason of a [Report].
type Reason string

// Reasons of a [Report].
const (
	// RecordMalformed marks a record that could not be decoded and was skipped.
	RecordMalformed Reason = "record malformed"
	// EntryRepeated marks an entry that was dropped because its ID was in the
	// window.
	EntryRepeated Reason = "entry repeated"
	// SnapshotMalformed marks a snapshot entry that could not be decoded or
	// whose base is beyond its own offset.
	SnapshotMalformed Reason = "snapshot malformed"
	// SnapshotDamaged marks a snapshot whose data does not match its digest.
	SnapshotDamaged Reason = "snapshot damaged"
	// SnapshotMismatched marks a snapshot that differs from the local state at
	// the snapshot's base.
	SnapshotMismatched Reason = "snapshot mismatched"
)

// Report describes a record or entry that the stream skipped or found invalid.
// Streams that folded equal records from the start report the same.
type Report struct {
	Position platform.Position   `json:"position"`
	EntryID  string              `json:"entry_id,omitempty"`
	Writer   platform.InstanceID `json:"writer,omitempty"`
	Reason   Reason              `json:"reason"`
}

// Stream applies the records of one stream to parts, in order and each once.
// It is not safe for concurrent use.
type Stream struct {
	parts      []Part
	next       platform.Offset
	window     *idWindow
	onReport   func(Report)
	completion completionTracker
	// bytesSinceSnapshot is the payload size of the records since the newest
	// snapshot in the log or the last restore.
	bytesSinceSnapshot int
	// mismatchBase is the base of the newest snapshot that differed from the
	// local state.
	mismatchBase platform.Offset
}

// NewStream returns a stream over the given parts that expects the first record
// of the log.
func NewStream(parts ...Part) *Stream {
	return &Stream{
		parts:    parts,
		next:     1,
		window:   newIDWindow(),
		onReport: func(Report) {},
	}
}

// OnReport sets the function that is called with each report.
func (s *Stream) OnReport(onReport func(Report)) { s.onReport = onReport }

// Next returns the offset of the next record to apply.
func (s *Stream) Next() platform.Offset { return s.next }

// SnapshotBase returns the base of the newest snapshot known to be complete in
// the log, 0 if none.
func (s *Stream) SnapshotBase() platform.Offset { return s.completion.newestBase }

// BytesSinceSnapshot returns the payload bytes of the records folded since the
// newest snapshot or the last restore.
func (s *Stream) BytesSinceSnapshot() int { return s.bytesSinceSnapshot }

// MismatchBase returns the base of the newest snapshot in the log that differs
// from the stream's state, 0 if none. A newer snapshot should supersede it soon.
func (s *Stream) MismatchBase() platform.Offset { return s.mismatchBase }

// Apply folds one record. It returns false and ignores the record if its offset
// is not [Stream.Next]. A record that cannot be decoded is skipped entirely.
func (s *Stream) Apply(record platform.Record) bool {
	if record.Offset != s.next {
		return false
	}
	s.bytesSinceSnapshot += len(record.Payload)
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
	snapshot := Snapshot{Next: s.next, Window: s.window.encode(), LogBase: s.completion.newestBase}
	for _, part := range s.parts {
		state, err := part.Snapshot()
		if err != nil {
			return Snapshot{}, eris.Wrapf(err, "fold: snapshot of part %s", part.Name())
		}
		snapshot.Parts = append(snapshot.Parts, PartState{Name: part.Name(), State: state})
	}
	return snapshot, nil
}

// Restore replaces the whole state by that of the snapshot, or returns an error
// and changes nothing. The errors are [ErrNotForward], [ErrMalformedSnapshot],
// [ErrPartMissing], and any error of [Checker]: the snapshot would undo something
// accepted by a part. Restore first takes a snapshot of the current state for a
// rollback, so it also returns the errors of [Stream.Snapshot].
func (s *Stream) Restore(snapshot Snapshot) error {
	if snapshot.Next <= s.next {
		return eris.Wrapf(ErrNotForward, "snapshot at %d, stream at %d", snapshot.Next, s.next)
	}
	restored, err := decodeIDWindow(snapshot.Window)
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
	s.bytesSinceSnapshot = 0
	s.completion = completionTracker{newestBase: max(s.completion.newestBase, snapshot.LogBase)}
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

// applyChunk records a snapshot entry. It changes neither the window nor the
// parts, so an instance that folds the entry and one that restored the snapshot
// have equal states.
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
	if chunk.Base == position.Offset && position.Index == 0 && !s.matchesState(chunk) {
		s.mismatchBase = chunk.Base
		s.report(position, entry, SnapshotMismatched)
		return
	}
	base := s.completion.newestBase
	if !s.completion.add(chunk) {
		s.report(position, entry, SnapshotDamaged)
	}
	if s.completion.newestBase > base {
		s.bytesSinceSnapshot = 0
	}
}

// matchesState reports whether the chunk's snapshot equals the current state, by
// its digest. The base of the snapshot must be the stream's next offset.
func (s *Stream) matchesState(chunk Chunk) bool {
	snapshot, err := s.Snapshot()
	if err != nil {
		return false
	}
	snapshot.LogBase = 0
	encoded, err := snapshot.Encode()
	return err == nil && hexDigest(sha256.Sum256(encoded)) == chunk.Digest
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

// restoreParts restores all parts; on an error it rolls back those already
// restored.
func (s *Stream) restoreParts(snapshot Snapshot) error {
	before, err := s.Snapshot()
	if err != nil {
		return err
	}
	for i, part := range s.parts {
		state, _ := snapshot.part(part.Name())
		if err := part.Restore(state); err != nil {
			s.rollBackParts(before, i)
			return eris.Wrapf(ErrMalformedSnapshot, "part %s: %v", part.Name(), err)
		}
	}
	return nil
}

// rollBackParts restores the first n parts to their previous state. It panics if
// a part rejects its own snapshot, which breaks the contract of [Part].
func (s *Stream) rollBackParts(before Snapshot, n int) {
	for i, part := range s.parts[:n] {
		if err := part.Restore(before.Parts[i].State); err != nil {
			panic("fold: part " + part.Name() + " refused its own snapshot: " + err.Error())
		}
	}
}
