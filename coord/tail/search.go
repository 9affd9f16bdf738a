package tail

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// firstSpan is the number of records that a search looks through first.
	firstSpan = 64
	// searchGrowth is the factor by which it goes further back each time.
	searchGrowth = 4
)

// search looks for a snapshot from the log's end backwards, span by span.
type search struct {
	end     platform.Offset // where the search began
	span    uint64          // how far back the current round goes
	low     platform.Offset // begin of the current round
	high    platform.Offset // begin of the round before
	cursor  platform.Offset // next record of the current round
	offered bool            // the newest snapshot was handed to the fold
}

// planSearch continues the search, or leaves the work to a peer if one may
// have a snapshot.
func (t *Tailer) planSearch() (Effect, bool) {
	if _, ahead := t.peers.ahead(t.now, t.next); t.cfg.Bootstrap == PeerFirst && (ahead || t.peers.reading != 0) {
		return nil, false
	}
	if t.search == nil {
		t.assembler.Reset()
		t.search = &search{end: t.log.end, high: t.log.end}
		t.search.extend(firstSpan, t.searchFloor())
	}
	if t.search.cursor >= t.search.high && !t.extendSearch() {
		return nil, false
	}
	limit := min(uint64(t.cfg.PageRecords), uint64(t.search.high-t.search.cursor))
	return t.readLog(purposeSearch, t.search.cursor, int(limit), 0), true
}

// searchFloor is the offset below which no usable snapshot can stand.
func (t *Tailer) searchFloor() platform.Offset { return max(t.log.first, t.next, 1) }

// extendSearch begins the next round further back. When there is none left the
// search is over: it reports false, and the records themselves are read, or
// the search begins anew after a pause if they are lost.
func (t *Tailer) extendSearch() bool {
	if t.search.low > t.searchFloor() {
		t.search.high = t.search.low
		t.search.extend(t.search.span*searchGrowth, t.searchFloor())
		return true
	}
	t.search = nil
	t.noSnapshot = true
	if t.log.first > t.next {
		t.log.resumeAt = t.now.Add(t.jitter(t.cfg.RetryCap))
		t.log.end = 0 // to be learnt anew
	}
	return false
}

// extend sets the begin of the round span records before the end.
func (s *search) extend(span uint64, floor platform.Offset) {
	s.span = span
	s.low = floor
	if uint64(s.end) > span {
		s.low = max(floor, s.end-platform.Offset(span))
	}
	s.cursor = s.low
}

// searchPage looks through a page, and offers the newest snapshot at the end
// of a round.
func (t *Tailer) searchPage(page platform.Page) []Effect {
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

// offerSnapshot hands the newest snapshot found to the fold, if the records
// after it are all retained and it is ahead of the fold.
func (t *Tailer) offerSnapshot() []Effect {
	encoded, base, ok := t.assembler.Newest()
	if !ok || base < t.log.first || base <= t.next {
		return nil
	}
	t.search.offered = true
	t.restoring = true
	return []Effect{DeliverSnapshot{Snapshot: encoded, Next: base}}
}
