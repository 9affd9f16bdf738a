package session

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// KindPinSets is the kind of sessions stream entries that have a [Batch] body.
const KindPinSets platform.Kind = "session.born"

// MaxPinSetsPerEntry bounds the pin sets of one entry.
const MaxPinSetsPerEntry = 1024

// ErrMalformedEntry reports an entry body that cannot be decoded.
var ErrMalformedEntry = eris.New("session: malformed entry of pin sets")

// Batch is the body of an entry that records the pin sets of several sessions.
type Batch struct {
	Sets []PinSet `json:"births"`
}

// NewPinSetsEntry encodes pin sets as one entry of the sessions stream.
func NewPinSetsEntry(id string, writer platform.InstanceID, sets []PinSet) (platform.Entry, error) {
	if len(sets) == 0 || len(sets) > MaxPinSetsPerEntry {
		return platform.Entry{}, eris.Errorf("session: entry has %d pin sets, must have 1 to %d", len(sets), MaxPinSetsPerEntry)
	}
	return platform.NewEntry(id, KindPinSets, writer, Batch{Sets: sets})
}

// DecodePinSets decodes the pin sets of an entry body. The error is
// [ErrMalformedEntry].
func DecodePinSets(body json.RawMessage) ([]PinSet, error) {
	if len(body) > platform.MaxRecordBytes {
		return nil, ErrMalformedEntry
	}
	var batch Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, ErrMalformedEntry
	}
	if len(batch.Sets) == 0 || len(batch.Sets) > MaxPinSetsPerEntry {
		return nil, ErrMalformedEntry
	}
	for _, set := range batch.Sets {
		if set.Account == "" || set.Session == "" || len(set.Pins) > MaxPins {
			return nil, ErrMalformedEntry
		}
	}
	return batch.Sets, nil
}
