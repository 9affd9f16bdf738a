package outbox

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// recordOverhead is the encoded size of a record without its entries and the
// separators between them, in bytes.
const recordOverhead = len("[]")

// queuedEntry is an entry that is not yet known to be in the log.
type queuedEntry struct {
	entry platform.Entry
	size  int // encoded size with its separator, in bytes
	// inFlight is set while an append carries the entry.
	inFlight bool
	// mayBeLogged is set once an append of unknown outcome has carried the
	// entry, or the entry has been forwarded to another instance.
	mayBeLogged bool
	// searchFrom is the offset where a read-back for the entry starts: an end
	// of the stream that was known before the entry could have been logged.
	// Each read-back that does not find the entry raises it.
	searchFrom platform.Offset
	// inReadBack is set if the last read-back searches for the entry.
	inReadBack bool
	// firstSeen is the time of the first Step after the entry was added; zero
	// before.
	firstSeen time.Time
}

// queue keeps entries in order of arrival, each ID once.
type queue struct {
	items []queuedEntry
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
	q.items = append(q.items, queuedEntry{entry: entry, size: size})
	q.ids[entry.ID] = struct{}{}
	q.bytes += size
}

// remove removes the listed entries that match and returns their IDs in order
// of arrival.
func (q *queue) remove(ids []string, match func(queuedEntry) bool) []string {
	listed := q.filterQueued(ids)
	if len(listed) == 0 {
		return nil
	}
	var removed []string
	q.items = slices.DeleteFunc(q.items, func(e queuedEntry) bool {
		if _, ok := listed[e.entry.ID]; !ok || !match(e) {
			return false
		}
		removed = append(removed, e.entry.ID)
		delete(q.ids, e.entry.ID)
		q.bytes -= e.size
		return true
	})
	return removed
}

// filterQueued returns the set of the given IDs that are in the queue.
func (q *queue) filterQueued(ids []string) map[string]struct{} {
	listed := make(map[string]struct{}, len(ids))
	for _, id := range ids {
		if q.has(id) {
			listed[id] = struct{}{}
		}
	}
	return listed
}

// recordPrefixLen returns the length of the longest prefix of the queue that fits
// into one record.
func (q *queue) recordPrefixLen() int {
	size := recordOverhead
	for i, e := range q.items {
		size += e.size
		if i == platform.MaxEntriesPerRecord || size > platform.MaxRecordBytes {
			return i
		}
	}
	return len(q.items)
}

// anyMayBeLogged reports whether any entry of the queue may be in the log.
func (q *queue) anyMayBeLogged() bool {
	return slices.ContainsFunc(q.items, func(e queuedEntry) bool { return e.mayBeLogged })
}

// markForwarded marks the listed entries as forwarded to another instance. end
// is the known end of the stream.
func (q *queue) markForwarded(ids []string, end platform.Offset) {
	listed := q.filterQueued(ids)
	for i := range q.items {
		e := &q.items[i]
		if _, ok := listed[e.entry.ID]; ok && !e.mayBeLogged && !e.inFlight {
			e.mayBeLogged, e.searchFrom = true, end
		} else if ok {
			e.mayBeLogged = true
		}
	}
}

// startReadBack sets inReadBack of exactly the entries that may be in the log,
// and returns their IDs and the offset to read from.
func (q *queue) startReadBack() (ids []string, from platform.Offset) {
	for i := range q.items {
		e := &q.items[i]
		if e.inReadBack = e.mayBeLogged; !e.mayBeLogged {
			continue
		}
		if len(ids) == 0 || e.searchFrom < from {
			from = e.searchFrom
		}
		ids = append(ids, e.entry.ID)
	}
	return ids, from
}

// raiseSearchFrom records that the entries of the last read-back are not in the
// log below the offset.
func (q *queue) raiseSearchFrom(next platform.Offset) {
	for i := range q.items {
		if q.items[i].inReadBack {
			q.items[i].searchFrom = max(q.items[i].searchFrom, next)
		}
	}
}

// setFirstSeen sets firstSeen of the entries that were added since the last
// call.
func (q *queue) setFirstSeen(now time.Time) {
	for i := len(q.items) - 1; i >= 0 && q.items[i].firstSeen.IsZero(); i-- {
		q.items[i].firstSeen = now
	}
}

// startFlight marks the first n entries as in flight and returns them. Entries
// in flight are always a prefix of the queue, because new entries are added at
// its end. end is the known end of the stream.
func (q *queue) startFlight(n int, end platform.Offset) []platform.Entry {
	entries := make([]platform.Entry, n)
	for i := range n {
		if !q.items[i].mayBeLogged {
			q.items[i].searchFrom = end
		}
		q.items[i].inFlight = true
		entries[i] = q.items[i].entry
	}
	return entries
}

// endFlight marks the entries in flight as no longer in flight. If the append
// may have taken effect, they may be logged from then on.
func (q *queue) endFlight(mayHaveEffect bool) {
	for i := range q.items {
		if !q.items[i].inFlight {
			return
		}
		q.items[i].inFlight = false
		q.items[i].mayBeLogged = q.items[i].mayBeLogged || mayHaveEffect
	}
}

// inFlightIDs returns the IDs of the entries in flight.
func (q *queue) inFlightIDs() []string {
	var ids []string
	for _, e := range q.items {
		if !e.inFlight {
			break
		}
		ids = append(ids, e.entry.ID)
	}
	return ids
}

func matchAll(queuedEntry) bool { return true }

// isNotLogged matches entries that no append can have carried into the log.
func isNotLogged(e queuedEntry) bool { return !e.inFlight && !e.mayBeLogged }
