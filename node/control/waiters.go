package control

import (
	"encoding/json"
	"sync"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// waiters signals when entries are folded. It implements fold.Part, without
// state in snapshots.
type waiters struct {
	mu     sync.Mutex
	folded map[string]chan struct{} // by entry ID
}

func newWaiters() *waiters { return &waiters{folded: map[string]chan struct{}{}} }

// expect returns a channel that is closed once the entry is folded, and a
// function that stops waiting. The channel is not closed if the entry's record is
// skipped by the restore of a snapshot.
func (w *waiters) expect(entryID string) (<-chan struct{}, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	folded := make(chan struct{})
	w.folded[entryID] = folded
	return folded, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.folded, entryID)
	}
}

// Name implements fold.Part.
func (w *waiters) Name() string { return "waiters" }

// Apply implements fold.Part.
func (w *waiters) Apply(_ platform.Position, entry platform.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if folded, ok := w.folded[entry.ID]; ok {
		close(folded)
		delete(w.folded, entry.ID)
	}
}

// Snapshot implements fold.Part.
func (w *waiters) Snapshot() (json.RawMessage, error) { return json.RawMessage("{}"), nil }

// Restore implements fold.Part.
func (w *waiters) Restore(json.RawMessage) error { return nil }
