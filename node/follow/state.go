package follow

import (
	"sync"

	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// State guards a fold.Stream by a lock. It implements [Fold].
type State struct {
	mu       sync.Mutex
	stream   *fold.Stream
	changed  func()
	restored func()
}

// NewState returns a state that guards the stream. changed is called after every
// change. restored is called after the restore of a snapshot, before changed. Both
// are called under the lock, and either may be nil.
func NewState(stream *fold.Stream, changed, restored func()) *State {
	noop := func() {}
	if changed == nil {
		changed = noop
	}
	if restored == nil {
		restored = noop
	}
	return &State{stream: stream, changed: changed, restored: restored}
}

// WithLock calls a function under the lock, so that it can read the stream's parts
// (see [fold.Part]).
func (s *State) WithLock(read func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read()
}

// Next implements [Fold].
func (s *State) Next() platform.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Next()
}

// Apply implements [Fold].
func (s *State) Apply(records []platform.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		s.stream.Apply(record)
	}
	s.changed()
}

// Restore implements [Fold].
func (s *State) Restore(encoded []byte) error {
	snapshot, err := fold.DecodeSnapshot(encoded)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stream.Restore(snapshot); err != nil {
		return err
	}
	s.restored()
	s.changed()
	return nil
}

// Snapshot implements [Fold].
func (s *State) Snapshot() ([]byte, platform.Offset, error) {
	snapshot, err := s.FoldSnapshot()
	if err != nil {
		return nil, 0, err
	}
	encoded, err := snapshot.Encode()
	return encoded, snapshot.Next, err
}

// FoldSnapshot returns the state as a snapshot.
func (s *State) FoldSnapshot() (fold.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Snapshot()
}

// SchedulerInput returns the input from which a [fold.SnapshotScheduler] decides
// whether a snapshot is due. first is the lowest offset that the log is known to
// retain, 0 if unknown.
func (s *State) SchedulerInput(first platform.Offset) fold.SchedulerInput {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fold.SchedulerInput{
		Next:         s.stream.Next(),
		SnapshotBase: s.stream.SnapshotBase(),
		Bytes:        s.stream.BytesSinceSnapshot(),
		MismatchBase: s.stream.MismatchBase(),
		First:        first,
	}
}
