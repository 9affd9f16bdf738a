package tail

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// initialDistance is the number of records before the end that the first
	// round reads.
	initialDistance = 64
	// searchGrowth is the factor by which the distance grows with each round.
	searchGrowth = 4
)

// search searches the log for a snapshot. It works in rounds. The first one reads
// the records just before the end of the log; each further round starts at a
// greater distance and reads forward to the start of the previous one.
type search struct {
	end      platform.Offset // end of the log when the search began
	distance uint64          // records between the start of the current round and end
	low      platform.Offset // start of the current round
	high     platform.Offset // end of the current round: the start of the previous one
	cursor   platform.Offset // next offset of the current round
	offered  bool            // the newest snapshot was passed to the fold
}

// planSearch returns the next read of the search. With [PeerFirst] it returns none
// while a peer may provide a snapshot.
func (t *Tailer) planSearch() (Effect, bool) {
	if _, ahead := t.peers.ahead(t.now, t.next); t.cfg.Bootstrap == PeerFirst && (ahead || t.peers.activeRead != 0) {
		return nil, false
	}
	if t.search == nil {
		t.assembler.Reset()
		t.search = &search{end: t.log.end, high: t.log.end}
		t.search.extend(initialDistance, t.searchFloor())
	}
	if t.search.cursor >= t.search.high && !t.extendSearch() {
		return nil, false
	}
	limit := min(uint64(t.cfg.PageRecords), uint64(t.search.high-t.search.cursor))
	return t.readLog(purposeSearch, t.search.cursor, int(limit), 0), true
}

// searchFloor returns the offset below which no usable snapshot can be.
func (t *Tailer) searchFloor() platform.Offset { return max(t.log.first, t.next, 1) }

// extendSearch starts the next round, further back, and reports whether there is
// one. Otherwise the search ends, and the tailer reads the records themselves or,
// if they are lost, starts a new search after a delay.
func (t *Tailer) extendSearch() bool {
	if t.search.low > t.searchFloor() {
		t.search.high = t.search.low
		t.search.extend(t.search.distance*searchGrowth, t.searchFloor())
		return true
	}
	t.search = nil
	t.skipSnapshot = true
	if t.log.first > t.next {
		t.log.retryAt = t.now.Add(t.jitter(t.cfg.RetryCap))
		t.log.end = 0 // planLog then probes the log again
	}
	return false
}

// extend starts a round the given distance before the end, but not below floor.
func (s *search) extend(distance uint64, floor platform.Offset) {
	s.distance = distance
	s.low = floor
	if uint64(s.end) > distance {
		s.low = max(floor, s.end-platform.Offset(distance))
	}
	s.cursor = s.low
}

// handleSearchPage collects the snapshots of a page. At the end of a round it
// delivers the newest one.
func (t *Tailer) handleSearchPage(page platform.Page) []Effect {
	if t.search == nil {
		return nil
	}
	for _, record := range page.Records {
		t.assembler.Add(record)
		t.search.cursor = max(t.search.cursor, record.Offset+1)
	}
	if len(page.Records) == 0 {
		t.search.cursor = t.search.high
	}
	if t.search.cursor < t.search.high {
		return nil
	}
	return t.offerSnapshot()
}

// offerSnapshot delivers the newest snapshot found, if all records after it are
// retained and it is ahead of the fold.
func (t *Tailer) offerSnapshot() []Effect {
	encoded, base, ok := t.assembler.Newest()
	if !ok || base < t.log.first || base <= t.next {
		return nil
	}
	t.search.offered = true
	t.restoring = true
	return []Effect{DeliverSnapshot{Snapshot: encoded, Next: base}}
}
