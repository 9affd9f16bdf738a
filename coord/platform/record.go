package platform

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a record.
const (
	// MaxEntriesPerRecord bounds the entries that one append may carry.
	MaxEntriesPerRecord = 1 << indexBits
	// MaxRecordBytes bounds the encoded size of one record.
	MaxRecordBytes = 1 << 20

	indexBits = 10
)

// ErrMalformedRecord reports a record payload that cannot be decoded. Every
// fold skips such a record.
var ErrMalformedRecord = eris.New("platform: malformed record")

// Offset is the place of a record in a stream. Offsets of a stream grow by one
// from record to record, starting at 1; 0 means "before the first record".
type Offset uint64

// Position is the place of an entry in a stream.
type Position struct {
	// Offset is the offset of the record that carries the entry.
	Offset Offset `json:"offset"`
	// Index is the entry's index in its record, from 0.
	Index int `json:"index"`
}

// Number maps positions to integers and keeps their order. It serves as a
// revision or as a fencing number.
func (p Position) Number() uint64 {
	return uint64(p.Offset)<<indexBits | uint64(p.Index)
}

// Kind names the type of an entry's body.
type Kind string

// InstanceID names one run of one process of the system. A restarted process
// takes a new InstanceID, so that nothing it wrote before can be taken for its
// own afterwards.
type InstanceID string

// Entry is one statement in a stream.
type Entry struct {
	// ID identifies the entry. An entry appended again keeps its ID; folds
	// apply the first and drop the others.
	ID string `json:"id"`
	// Kind names the type of Body.
	Kind Kind `json:"kind"`
	// Writer is the instance, or the operator's tool, that wrote the entry.
	Writer InstanceID `json:"writer"`
	// Body is the JSON encoding of the statement.
	Body json.RawMessage `json:"body"`
}

// Record is one append as the log returns it.
type Record struct {
	// Offset is the record's place in its stream.
	Offset Offset `json:"offset"`
	// Time is the log's own clock at the append. It informs people and
	// reports; no fold decides by it.
	Time time.Time `json:"time"`
	// Payload is the encoding of the record's entries, see [DecodeEntries].
	Payload []byte `json:"payload"`
}

// EncodeEntries encodes entries as a record payload. It reports an error if
// there are more than [MaxEntriesPerRecord] of them or if the result exceeds
// [MaxRecordBytes].
func EncodeEntries(entries []Entry) ([]byte, error) {
	if len(entries) > MaxEntriesPerRecord {
		return nil, eris.Errorf("platform: %d entries exceed the limit of %d", len(entries), MaxEntriesPerRecord)
	}
	payload, err := json.Marshal(entries)
	if err != nil {
		return nil, eris.Wrap(err, "platform: encode entries")
	}
	if len(payload) > MaxRecordBytes {
		return nil, eris.Errorf("platform: record of %d bytes exceeds the limit of %d", len(payload), MaxRecordBytes)
	}
	return payload, nil
}

// DecodeEntries decodes a record payload. It either returns all entries or
// [ErrMalformedRecord]; a record is never applied in part.
func DecodeEntries(payload []byte) ([]Entry, error) {
	if len(payload) > MaxRecordBytes {
		return nil, ErrMalformedRecord
	}
	decoder := json.NewDecoder(bytes.NewReader(payload))
	var entries []Entry
	if err := decoder.Decode(&entries); err != nil {
		return nil, ErrMalformedRecord
	}
	if decoder.More() || len(entries) > MaxEntriesPerRecord {
		return nil, ErrMalformedRecord
	}
	for _, entry := range entries {
		if entry.ID == "" || entry.Kind == "" {
			return nil, ErrMalformedRecord
		}
	}
	return entries, nil
}

// NewEntry encodes body as the body of an entry.
func NewEntry(id string, kind Kind, writer InstanceID, body any) (Entry, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Entry{}, eris.Wrapf(err, "platform: encode %s", kind)
	}
	return Entry{ID: id, Kind: kind, Writer: writer, Body: encoded}, nil
}
