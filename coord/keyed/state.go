package keyed

import (
	"cmp"
	"maps"
	"slices"
)

// Change is the new value of a key. A nil Value means that the key was deleted.
type Change struct {
	Key   string
	Value []byte
}

// State folds one topic. It does no input or output and is not safe for concurrent
// use. The zero value has no snapshot loaded; Load must be called before Apply.
type State struct {
	newest map[string]Record
	next   Position
	loaded bool
}

// Loaded reports whether a snapshot has been loaded.
func (s *State) Loaded() bool { return s.loaded }

// Next returns the position to read from next.
func (s *State) Next() Position { return s.next }

// Newest returns the newest record of each key, in order of offset.
func (s *State) Newest() Page {
	records := slices.SortedFunc(maps.Values(s.newest), func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
	return Page{Records: records, Next: s.next}
}

// Load replaces the state by a snapshot. It returns a change for each record of
// the snapshot, and a deletion for each previously known key without a record in
// it.
func (s *State) Load(page Page) []Change {
	deleted := maps.Clone(s.newest)
	s.newest = make(map[string]Record, len(page.Records))
	s.next, s.loaded = page.Next, true
	var changes []Change
	for _, record := range page.Records {
		delete(deleted, record.Key)
		changes = append(changes, s.apply(record))
	}
	for key := range deleted {
		changes = append(changes, Change{Key: key})
	}
	return changes
}

// Apply applies the records of a page that was read from [State.Next] and returns their
// changes. Records that were applied before are skipped.
func (s *State) Apply(page Page) []Change {
	var changes []Change
	for _, record := range page.Records {
		if record.Offset < s.next.Offset {
			continue
		}
		changes = append(changes, s.apply(record))
	}
	s.next.Offset = max(s.next.Offset, page.Next.Offset)
	return changes
}

func (s *State) apply(record Record) Change {
	if len(record.Value) == 0 {
		delete(s.newest, record.Key)
		return Change{Key: record.Key}
	}
	s.newest[record.Key] = record
	return Change{Key: record.Key, Value: record.Value}
}
