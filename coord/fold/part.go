package fold

import (
	"encoding/json"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Part is one state machine over the entries of a stream. It must depend on
// nothing but the entries and their positions, so that all instances that
// folded equal streams have equal parts. Entries come in order of position,
// none twice, and of every kind: a part skips kinds it does not know and
// bodies it cannot read. A Part is not safe for concurrent use.
type Part interface {
	// Name identifies the part in a snapshot.
	Name() string
	// Apply folds one entry.
	Apply(position platform.Position, entry platform.Entry)
	// Snapshot encodes the whole state. Equal states give equal bytes.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state by a snapshot's. On an error the state is
	// unchanged.
	Restore(snapshot json.RawMessage) error
}

// Checker is a [Part] that can tell whether a snapshot goes back behind its
// state.
type Checker interface {
	// Check returns an error if restoring the snapshot would undo something
	// that the part has accepted. It changes nothing.
	Check(snapshot json.RawMessage) error
}
