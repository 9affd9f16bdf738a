package outbox

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// recordOverhead is the size, in bytes, of a record's encoding besides its
// entries and the separators between them.
const recordOverhead = len("[]")

// held is an entry that waits for the log.
type held struct {
	entry platform.Entry
	size  int // encoded size with its separator, in bytes
	// inFlight is set while an append carries the entry.
	inFlight bool
	// exposed is set once an append of unknown outcome has carried the entry,
	// or another instance has been given it.
	exposed bool
	// from is an end of the stream that was known before the entry could have
	// got there. It moves on with each read-back that did not find the entry.
	from platform.Offset
	// sought is set while a read-back looks for the entry.
	sought bool
	// since is when the outbox first acted with the entry; zero before.
	since time.Time
}

// queue keeps entries in order of arrival, each ID once.
type queue struct {
	items []held
	ids   map[string]struct{}
	bytes int
}

func newQueue() queue { return queue{ids: map[string]struct{}{}} }

func encodedSize(entry platform.Entry) (int, error) {
	encoded, err := json.Marshal(entry)
	if err != nil {
		return 0, eris.Wrapf(err, "outbox: encode entry %s", entry.ID)
	}
	return len(encoded) + len(","), nil
}

func (q *queue) has(id string) bool {
	_, ok := q.ids[id]
	return ok
}

func (q *queue) push(entry platform.Entry, size int) {
	q.items = append(q.items, held{entry: entry, size: size})
	q.ids[entry.ID] = struct{}{}
	q.bytes += size
}

// remove drops the listed entries that match and returns their IDs in order
// of arrival.
func (q *queue) remove(ids []string, match func(held) bool) []string {
	listed := q.listed(ids)
	if len(listed) == 0 {
		return nil
	}
	var removed []string
	q.items = slices.DeleteFunc(q.items, func(h held) bool {
		if _, ok := listed[h.entry.ID]; !ok || !match(h) {
			return false
		}
		removed = append(removed, h.entry.ID)
		delete(q.ids, h.entry.ID)
		q.bytes -= h.size
		return true
	})
	return removed
}

// listed returns those of the IDs that are held.
func (q *queue) listed(ids []string) map[string]struct{} {
	listed := make(map[string]struct{}, len(ids))
	for _, id := range ids {
		if q.has(id) {
			listed[id] = struct{}{}
		}
	}
	return listed
}

// head returns the length of the longest prefix that fits into one record.
func (q *queue) head() int {
	size := recordOverhead
	for i, h := range q.items {
		size += h.size
		if i == platform.MaxEntriesPerRecord || size > platform.MaxRecordBytes {
			return i
		}
	}
	return len(q.items)
}

// hasExposed tells whether an append may have brought an entry into the log.
func (q *queue) hasExposed() bool {
	return slices.ContainsFunc(q.items, func(h held) bool { return h.exposed })
}

// expose marks the listed entries as given away.
func (q *queue) expose(ids []string, end platform.Offset) {
	listed := q.listed(ids)
	for i := range q.items {
		h := &q.items[i]
		if _, ok := listed[h.entry.ID]; ok && !h.exposed && !h.inFlight {
			h.exposed, h.from = true, end
		} else if ok {
			h.exposed = true
		}
	}
}

// seek marks the exposed entries as sought, and returns their IDs and the
// offset to read from.
func (q *queue) seek() (ids []string, from platform.Offset) {
	for i := range q.items {
		h := &q.items[i]
		if h.sought = h.exposed; !h.exposed {
			continue
		}
		if len(ids) == 0 || h.from < from {
			from = h.from
		}
		ids = append(ids, h.entry.ID)
	}
	return ids, from
}

// notBefore says that the entries sought are not in the log below the offset.
func (q *queue) notBefore(next platform.Offset) {
	for i := range q.items {
		if q.items[i].sought {
			q.items[i].from = max(q.items[i].from, next)
		}
	}
}

// stamp notes the time at the entries that have arrived since the last call.
func (q *queue) stamp(now time.Time) {
	for i := len(q.items) - 1; i >= 0 && q.items[i].since.IsZero(); i-- {
		q.items[i].since = now
	}
}

// depart marks the first n entries as in flight and returns them. Entries in
// flight are always a prefix of the queue: others arrive behind them.
func (q *queue) depart(n int, end platform.Offset) []platform.Entry {
	entries := make([]platform.Entry, n)
	for i := range n {
		if !q.items[i].exposed {
			q.items[i].from = end
		}
		q.items[i].inFlight = true
		entries[i] = q.items[i].entry
	}
	return entries
}

// land ends the flight of the entries in flight. If the append may have taken
// effect, they are exposed from then on.
func (q *queue) land(mayHaveEffect bool) {
	for i := range q.items {
		if !q.items[i].inFlight {
			return
		}
		q.items[i].inFlight = false
		q.items[i].exposed = q.items[i].exposed || mayHaveEffect
	}
}

// inFlight lists the IDs in flight.
func (q *queue) inFlight() []string {
	var ids []string
	for _, h := range q.items {
		if !h.inFlight {
			break
		}
		ids = append(ids, h.entry.ID)
	}
	return ids
}

func always(held) bool { return true }

// neverLogged matches entries that no append can have brought into the log.
func neverLogged(h held) bool { return !h.inFlight && !h.exposed }
