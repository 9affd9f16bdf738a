package keyed

import "maps"

// Change is what a page changed. A nil Value means that the key is gone.
type Change struct {
	Key   string
	Value []byte
}

// State folds one topic. It is a pure state machine and not safe for
// concurrent use. The zero value has read nothing.
type State struct {
	keys   map[string]struct{}
	next   Offset
	loaded bool
}

// Loaded reports whether a snapshot has been read.
func (s *State) Loaded() bool { return s.loaded }

// Next returns the offset to read from.
func (s *State) Next() Offset { return s.next }

// Load replaces the state by a snapshot. The result has a change for each key
// of the snapshot and for each known key that it lacks.
func (s *State) Load(page Page) []Change {
	gone := maps.Clone(s.keys)
	s.keys = make(map[string]struct{}, len(page.Records))
	s.next, s.loaded = page.Next, true
	var changes []Change
	for _, record := range page.Records {
		delete(gone, record.Key)
		changes = append(changes, s.apply(record))
	}
	for key := range gone {
		changes = append(changes, Change{Key: key})
	}
	return changes
}

// Apply takes in the records that follow the state.
func (s *State) Apply(page Page) []Change {
	var changes []Change
	for _, record := range page.Records {
		if record.Offset < s.next {
			continue
		}
		changes = append(changes, s.apply(record))
	}
	s.next = max(s.next, page.Next)
	return changes
}

func (s *State) apply(record Record) Change {
	if len(record.Value) == 0 {
		delete(s.keys, record.Key)
		return Change{Key: record.Key}
	}
	s.keys[record.Key] = struct{}{}
	return Change{Key: record.Key, Value: record.Value}
}
