package logservice

import (
	"sync"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// stream is an append-only sequence of records. It is safe for concurrent use.
type stream struct {
	mu       sync.Mutex
	records  []platform.Record
	first    platform.Offset // offset of records[0], or the end offset if records is empty
	appended chan struct{}   // closed at the next append
}

func newStream() *stream {
	return &stream{first: 1, appended: make(chan struct{})}
}

func (s *stream) append(now time.Time, payload []byte, retention Retention) platform.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.end()
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Payload: payload})
	s.evict(now, retention)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// page returns the records from the given offset on, no more than the given limit.
// There are none if no record has that offset yet. The boolean is false if that
// offset is no longer retained. The channel is closed at the next append.
func (s *stream) page(now time.Time, from platform.Offset, limit int, retention Retention) (platform.Page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now, retention)
	page := platform.Page{Records: []platform.Record{}, First: s.first, End: s.end(), Next: from}
	if from < s.first {
		return page, false, s.appended
	}
	if from >= s.end() {
		page.Next = s.end()
		return page, true, s.appended
	}
	start := int(from - s.first)
	stop := min(start+limit, len(s.records))
	page.Records = append(page.Records, s.records[start:stop]...)
	page.Next = s.first + platform.Offset(stop)
	return page, true, s.appended
}

// end returns the offset after the last record.
func (s *stream) end() platform.Offset {
	return s.first + platform.Offset(len(s.records))
}

// evict removes the records that exceed the retention.
func (s *stream) evict(now time.Time, retention Retention) {
	drop := max(0, len(s.records)-retention.Records)
	for drop < len(s.records) && now.Sub(s.records[drop].Time) > retention.Age {
		drop++
	}
	s.records = s.records[drop:]
	s.first += platform.Offset(drop)
}
