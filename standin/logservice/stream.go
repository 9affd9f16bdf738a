package logservice

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// stream is one append-only sequence of records, under its own lock.
type stream struct {
	mu      sync.Mutex
	records []platform.Record
	first   platform.Offset // of records[0], or the end if there is none
	grown   chan struct{}   // closed at the next append
}

func newStream() *stream {
	return &stream{first: 1, grown: make(chan struct{})}
}

func (s *stream) append(now time.Time, payload []byte, retention Retention) platform.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.end()
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Payload: payload})
	s.retain(now, retention)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// page returns up to limit records from an offset on, whether the offset is
// still retained, and a channel that is closed when the stream grows.
func (s *stream) page(now time.Time, from platform.Offset, limit int, retention Retention) (platform.Page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retain(now, retention)
	page := platform.Page{Records: []platform.Record{}, First: s.first, End: s.end(), Next: from}
	if from < s.first {
		return page, false, s.grown
	}
	if from >= s.end() {
		page.Next = s.end()
		return page, true, s.grown
	}
	start := int(from - s.first)
	stop := min(start+limit, len(s.records))
	page.Records = append(page.Records, s.records[start:stop]...)
	page.Next = s.first + platform.Offset(stop)
	return page, true, s.grown
}

func (s *stream) end() platform.Offset {
	return s.first + platform.Offset(len(s.records))
}

// retain drops the records that exceed the retention.
func (s *stream) retain(now time.Time, retention Retention) {
	drop := max(0, len(s.records)-retention.Records)
	for drop < len(s.records) && now.Sub(s.records[drop].Time) > retention.Age {
		drop++
	}
	s.records = s.records[drop:]
	s.first += platform.Offset(drop)
}
