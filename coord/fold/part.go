package fold

import (
	"encoding/json"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Part is one state machine over the entries of a stream. It must depend only
// on the entries and their positions, so that all instances that folded equal
// streams have equal parts. Apply receives the entries of all kinds in order of
// position, without the repeats within [WindowIDs]; a part skips kinds it does
// not know and bodies it cannot decode. A Part is not safe for concurrent use.
type Part interface {
	// Name identifies the part in a snapshot.
	Name() string
	// Apply folds one entry.
	Apply(position platform.Position, entry platform.Entry)
	// Snapshot encodes the whole state. Equal states have equal encodings.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state by that of the snapshot. On an error the
	// state is unchanged.
	Restore(snapshot json.RawMessage) error
}

// Checker is implemented by a [Part] that can check whether a snapshot would
// revert its state.
type Checker interface {
	// Check returns an error if restoring the snapshot would undo something
	// that the part has accepted. It does not change the part.
	Check(snapshot json.RawMessage) error
}
