package membership

// boundedSet is a set of at most bound IDs. Adding one more evicts the oldest.
type boundedSet[ID comparable] struct {
	members map[ID]struct{}
	order   []ID // ring, oldest at head
	head    int
	bound   int
}

func newBoundedSet[ID comparable](bound int) *boundedSet[ID] {
	return &boundedSet[ID]{members: map[ID]struct{}{}, bound: bound}
}

func (s *boundedSet[ID]) has(id ID) bool {
	_, ok := s.members[id]
	return ok
}

// add reports whether the ID was new.
func (s *boundedSet[ID]) add(id ID) bool {
	if s.has(id) {
		return false
	}
	s.members[id] = struct{}{}
	if len(s.order) < s.bound {
		s.order = append(s.order, id)
		return true
	}
	delete(s.members, s.order[s.head])
	s.order[s.head] = id
	s.head = (s.head + 1) % s.bound
	return true
}
