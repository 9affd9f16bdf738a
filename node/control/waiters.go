package control

import (
	"encoding/json"
	"sync"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// waiters tells when the fold has met an entry. It is a fold.Part without
// state.
type waiters struct {
	mu  sync.Mutex
	met map[string]chan struct{}
}

func newWaiters() *waiters { return &waiters{met: map[string]chan struct{}{}} }

// expect returns a channel that is closed once the entry is folded, and a
// function that gives up waiting.
func (w *waiters) expect(entryID string) (<-chan struct{}, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	met := make(chan struct{})
	w.met[entryID] = met
	return met, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.met, entryID)
	}
}

// Name implements fold.Part.
func (w *waiters) Name() string { return "waiters" }

// Apply implements fold.Part.
func (w *waiters) Apply(_ platform.Position, entry platform.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if met, ok := w.met[entry.ID]; ok {
		close(met)
		delete(w.met, entry.ID)
	}
}

// Snapshot implements fold.Part.
func (w *waiters) Snapshot() (json.RawMessage, error) { return json.RawMessage("{}"), nil }

// Restore implements fold.Part.
func (w *waiters) Restore(json.RawMessage) error { return nil }
