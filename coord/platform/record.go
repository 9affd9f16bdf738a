package platform

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a record.
const (
	// MaxEntriesPerRecord is the maximum number of entries in one record.
	MaxEntriesPerRecord = 1 << indexBits
	// MaxRecordBytes is the maximum encoded size of one record, in bytes.
	MaxRecordBytes = 1 << 20

	indexBits = 10
)

// ErrMalformedRecord reports a record payload that cannot be decoded. Every
// fold skips such a record.
var ErrMalformedRecord = eris.New("platform: malformed record")

// Offset is the position of a record in a stream. Offsets are consecutive and
// start at 1; 0 means "before the first record".
type Offset uint64

// Position is the position of an entry in a stream.
type Position struct {
	// Offset is the offset of the record that carries the entry.
	Offset Offset `json:"offset"`
	// Index is the entry's index in its record, from 0.
	Index int `json:"index"`
}

// Number returns the position as an integer. It preserves the order of positions
// and serves as a revision or fencing number.
func (p Position) Number() uint64 {
	return uint64(p.Offset)<<indexBits | uint64(p.Index)
}

// Kind names the type of an entry's body.
type Kind string

// InstanceID identifies one run of one process of this project. A restarted
// process uses a new InstanceID, so that entries of its previous run are not
// attributed to it.
type InstanceID string

// Entry is one typed message in a stream.
type Entry struct {
	// ID identifies the entry. An entry that is appended again keeps its ID;
	// folds apply the first occurrence and drop the others.
	ID string `json:"id"`
	// Kind names the type of Body.
	Kind Kind `json:"kind"`
	// Writer is the instance or operator's tool that wrote the entry.
	Writer InstanceID `json:"writer"`
	// Body is the JSON-encoded content.
	Body json.RawMessage `json:"body"`
}

// Record is one record as returned by the log.
type Record struct {
	// Offset is the record's position in its stream.
	Offset Offset `json:"offset"`
	// Time is the time of the append by the log's clock. It is used only for
	// display and reports; folds do not depend on it.
	Time time.Time `json:"time"`
	// Payload is the encoding of the record's entries, see [DecodeEntries].
	Payload []byte `json:"payload"`
}

// EncodeEntries encodes entries as a record payload. It returns an error if
// there are more than [MaxEntriesPerRecord] entries or if the payload exceeds
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

// DecodeEntries decodes a record payload. It returns either all entries or
// [ErrMalformedRecord]; a record is never decoded in part.
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

// NewEntry returns an entry whose Body is the given value encoded as JSON.
func NewEntry(id string, kind Kind, writer InstanceID, body any) (Entry, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Entry{}, eris.Wrapf(err, "platform: encode %s", kind)
	}
	return Entry{ID: id, Kind: kind, Writer: writer, Body: encoded}, nil
}
