package fleetlimit

import "slices"

// Clone returns an independent copy, in which a decision can be tried without counting it.
func (l *Limits) Clone() *Limits {
	cloned := *l // a group is never modified once it is set
	cloned.keys = slices.Clone(l.keys)
	cloned.limited = make(map[Key]*limited, len(l.limited))
	for key, known := range l.limited {
		entry := *known
		entry.sends = slices.Clone(known.sends)
		cloned.limited[key] = &entry
	}
	return &cloned
}
