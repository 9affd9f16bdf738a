package fold

import "github.com/wigeonusher/wigeonusher/coord/platform"

// Stream applies the records of one stream to parts, in order and each once.
// It is not safe for concurrent use.
type Stream struct {
	parts []Part
	next  platform.Offset
}

// NewStream returns a stream at its start, with the parts given.
func NewStream(parts ...Part) *Stream {
	return &Stream{parts: parts, next: 1}
}

// Next returns the offset of the record that the stream wants next.
func (s *Stream) Next() platform.Offset { return s.next }

// Apply folds one record. It reports whether the record was the next one;
// others are ignored. A record that cannot be decoded is skipped whole.
func (s *Stream) Apply(record platform.Record) bool {
	if record.Offset != s.next {
		return false
	}
	s.next++
	entries, err := platform.DecodeEntries(record.Payload)
	if err != nil {
		return true
	}
	for i, entry := range entries {
		position := platform.Position{Offset: record.Offset, Index: i}
		for _, part := range s.parts {
			part.Apply(position, entry)
		}
	}
	return true
}
